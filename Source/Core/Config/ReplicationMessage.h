#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "Config/AcceptedHistory.h"
#include "Config/SetDelta.h"

namespace Config {

// Tells the version that a node has. Ends a transfer, and shows the others of
// the data centre that a reader of the log is at work.
struct HeldVersion {
  std::string Node;
  Version Held = 0;
  bool ReadsLog = false;
};

struct SetRequest {
  std::string Node;
  Version Held = 0;
  // The version held can't serve as the base of a delta.
  bool WholeOnly = false;
  // How long the answer may be held back while there is nothing newer.
  Common::Micros Wait{0};
};

// A set, whole or as a delta against version Base.
struct SetSnapshot {
  std::string Node;
  Version Number = 0;
  RuleLevel Level = CurrentRuleLevel;
  // 0 for a whole set, which stands in Content.Changed. Of a set in another
  // form than canonical text, Content.Changed is a patch of the base's bytes.
  Version Base = 0;
  SetDelta Content;
  // Of the whole result's canonical text.
  std::uint64_t Hash = 0;
};

// The sender has too many snapshots in flight.
struct RequestRefused {
  std::string Node;
};

using ReplicationMessage =
    std::variant<HeldVersion, SetRequest, SetSnapshot, RequestRefused>;

} // namespace Config
