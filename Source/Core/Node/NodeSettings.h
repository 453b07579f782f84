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

struct NodeSettings {
  std::string Name;
  std::string DataCentre;
  std::string Address;
  int CallPort = 0;
  int PeerPort = 0;
  int MemberPort = 0;
  int ControlPort = 0;
  int AdminPort = 0;
  std::size_t BodyLimit = 0;
  std::vector<SeedAddress> Seeds;
  Common::Micros HeartbeatInterval{0};
  Common::Micros FailureLimit{0};
  Common::Micros AnnouncementLimit{0};
  Common::Micros LeaveDelay{0};
  Common::Micros DrainLimit{0};
  std::string LogUrl;
  std::string LogStream;
  Common::Micros LogWait{0};
  std::string ClaimStream;
  Once::KeyWindow ClaimWindow;
  Common::Micros ClaimInterval{25'000};
  std::size_t ClaimBatch = 100;
  std::size_t ClaimAnswerLimit = 16384;
};

// Throws SettingsWrongType for a seed that is no "IP:port", and
// SettingsOutOfRange when the log forgets claims whose keys can still be used.
NodeSettings readNodeSettings(const Common::Settings &From);

} // namespace Node
