#pragma once

#include <string>
#include <vector>

#include "Common/Settings.h"
#include "Once/CallKey.h"

namespace Node {

// The rules of a node's settings file.
const std::vector<Common::SettingRule> &nodeSettingRules();

// A peer's member socket, as "IP:port" in the settings.
struct SeedAddress {
  std::string Address;
  int Port = 0;
};

// The policies by which a near node chooses a backend server.
enum class ChoiceName { Ours, TwoChoices, LeastRequests, RoundRobin, Random };

// In which order calls that wait for a slot run.
enum class AdmissionOrder { Lanes, Fifo };

struct NodeSettings {
  std::string Name;
  std::string DataCentre;
  std::string Address;
  // Where callers reach the node; its Address unless the settings say more.
  std::string CallAddress;
  int CallPort = 0;
  int PeerPort = 0;
  Common::Micros EchoInterval{0};
  Common::Micros IdleEchoInterval{0};
  Common::Micros EchoLimit{0};
  int MemberPort = 0;
  int ControlPort = 0;
  int AdminPort = 0;
  std::size_t BodyLimit = 0;
  std::size_t OpenCallLimit = 0;
  ChoiceName Choice = ChoiceName::Ours;
  AdmissionOrder Admission = AdmissionOrder::Lanes;
  std::vector<SeedAddress> Seeds;
  Common::Micros ProbeInterval{0};
  Common::Micros ProbeTimeout{0};
  Common::Micros SuspicionLimit{0};
  Common::Micros AnnouncementLimit{0};
  Common::Micros LeaveDelay{0};
  Common::Micros DrainLimit{0};
  // How long callers are served on after a stop signal.
  Common::Micros ServeOnLimit{0};
  std::string LogUrl;
  std::string LogStream;
  Common::Micros LogWait{0};
  bool EveryNodeReads = false;
  std::string CheckpointStream;
  Common::Micros CheckpointInterval{0};
  std::string ClaimStream;
  Once::KeyWindow ClaimWindow;
  Common::Micros ClaimInterval{25'000};
  std::size_t ClaimBatch = 100;
  std::size_t ClaimAnswerLimit = 16384;
};

// Throws SettingsWrongType for a seed that is no "IP:port" and for unknown
// policies, and SettingsOutOfRange when the log forgets claims whose keys can
// still be used.
NodeSettings readNodeSettings(const Common::Settings &From);

} // namespace Node
