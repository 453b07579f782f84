#pragma once

#include <string>
#include <vector>

#include "Common/Settings.h"
#include "Once/CallKey.h"
#include "Tenants/QuotaLimiter.h"

namespace Node {

// The rules for the settings file of a node.
const std::vector<Common::SettingRule> &nodeSettingRules();

// The address of a peer's membership socket; "IP:port" in the settings.
struct SeedAddress {
  std::string Address;
  int Port = 0;
};

// The policies by which a caller-side node chooses a backend server.
enum class ChoiceKind {
  Adaptive,
  TwoChoices,
  LeastRequests,
  RoundRobin,
  Random
};

// The order in which queued calls get a slot.
enum class AdmissionOrder { Lanes, Fifo };

struct NodeSettings {
  std::string Name;
  std::string DataCentre;
  std::string Address;
  // The address on which the node accepts callers; equal to Address unless the
  // settings name another one.
  std::string CallAddress;
  int CallPort = 0;
  // The memory of the machine, in bytes, and the descriptors that the process
  // may have open.
  std::size_t MemoryLimit = 512'000'000;
  std::size_t DescriptorLimit = 65'536;
  int PeerPort = 0;
  Common::Micros EchoInterval{0};
  Common::Micros IdleEchoInterval{0};
  Common::Micros EchoLimit{0};
  int MemberPort = 0;
  int ControlPort = 0;
  int AdminPort = 0;
  std::size_t BodyLimit = 0;
  std::size_t OpenCallLimit = 0;
  ChoiceKind Choice = ChoiceKind::Adaptive;
  AdmissionOrder Admission = AdmissionOrder::Lanes;
  std::vector<SeedAddress> Seeds;
  Common::Micros ProbeInterval{0};
  Common::Micros ProbeTimeout{0};
  Common::Micros SuspicionLimit{0};
  Common::Micros AnnouncementLimit{0};
  Common::Micros LeaveDelay{0};
  Common::Micros DrainLimit{0};
  // How long new calls are still admitted to the server after LeaveDelay.
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
  Tenants::QuotaTerms Quota;
};

// Throws SettingsWrongType for a seed that is not "IP:port" and for an unknown
// policy. Throws SettingsOutOfRange when the retention of the log is so short
// that claims expire whose keys can still be used.
NodeSettings readNodeSettings(const Common::Settings &From);

// The drain limit of a process that is killed once Grace has passed.
Common::Micros drainLimitWithin(std::chrono::duration<double> Grace);

} // namespace Node
