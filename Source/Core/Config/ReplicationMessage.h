#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "Config/AcceptedHistory.h"
#include "Config/SetDelta.h"
#include "Recovery/StoreEra.h"

namespace Config {

// Reports the version that a node holds. Acknowledges a snapshot, and also
// serves as the heartbeat of the log reader towards the standbys of its data
// centre.
struct HeldVersion {
  std::string Node;
  Version Held = 0;
  bool ReadsLog = false;
  // The latest era of the source that the node knows.
  std::optional<Recovery::StoreEra> SourceEra = {};
};

struct SetRequest {
  std::string Node;
  Version Held = 0;
  // The held version can't be used as the base of a delta.
  bool WholeOnly = false;
  // How long the receiver may hold the answer back until it has a newer set.
  Common::Micros Wait{0};
};

// A set, either whole or as a delta against version Base.
struct SetSnapshot {
  std::string Node;
  Version SetVersion = 0;
  RuleLevel Level = CurrentRuleLevel;
  // 0 for a whole set, whose text is in Content.Changed. For sets that are not
  // in canonical text form, Content.Changed is a binary patch of the base.
  Version Base = 0;
  SetDelta Content;
  // Hash of the canonical text of the complete set.
  std::uint64_t Hash = 0;
  // As in HeldVersion.
  std::optional<Recovery::StoreEra> SourceEra = {};
};

// The sender is already sending the maximum number of snapshots.
struct RequestRefused {
  std::string Node;
};

using ReplicationMessage =
    std::variant<HeldVersion, SetRequest, SetSnapshot, RequestRefused>;

} // namespace Config
