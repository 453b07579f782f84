#pragma once

#include <map>
#include <string>
#include <string_view>

#include "Common/Time.h"
#include "Rollout/Order.h"

namespace Rollout {

// The stages of a roll-out in the order in which they replace each other. A
// decision to withdraw replaces every share of calls; a state that was written
// for the operator replaces every decision.
enum class Stage {
  // A small share of the calls goes to few servers of the target version.
  Trial,
  // A larger share for a short time, so that faults under load show.
  Load,
  // All calls go to the target version; those on other servers end.
  Full,
  // No calls go to the target version any more.
  Withdrawn,
  RolledBack,
  Completed
};

// How far the roll-out of one service is. Nodes exchange and merge it.
struct Progress {
  Order Ordered;
  Stage Reached = Stage::Trial;
  // When the order became known, on the clock of this node.
  Common::SteadyTime KnownSince;
};

inline bool isFinal(Stage Reached) {
  return Reached == Stage::RolledBack || Reached == Stage::Completed;
}

// Whether the progress still divides calls and closes servers. Some time after
// its end the servers of the version that gave way are gone, and its name may
// be used again.
bool isInForce(const Progress &Subject, Common::SteadyTime Now);

std::string_view stageName(Stage Reached);

// The newest progress of each service. Merging is commutative and idempotent,
// so nodes that received the same updates in any order agree.
class ProgressTable {
public:
  // Returns true if the update replaced what was recorded. An update of equal
  // rank only moves KnownSince back.
  bool merge(const Progress &Update);
  // Null if there is none.
  const Progress *find(const std::string &Service) const;
  const std::map<std::string, Progress> &all() const { return ByService; }
  // Whether a roll-out is neither completed nor rolled back.
  bool isAnyRunning() const;

private:
  std::map<std::string, Progress> ByService;
};

} // namespace Rollout
