#pragma once

#include <map>
#include <set>
#include <string>

#include "Common/Time.h"
#include "Rollout/Progress.h"
#include "Routing/VersionPolicy.h"

namespace Rollout {

// What the operator bounds.
struct Bounds {
  // The share of a service's calls, between the order and its deadline, that a
  // bad version may get.
  double ExposureShare = 0;
};

// The number of live servers of each version, by service.
using VersionCounts = std::map<std::string, std::map<std::string, int>>;

// Turns the progress of the roll-outs into the division of calls. Servers of a
// version that has just appeared get no calls for a while, as the order may not
// have reached this node yet.
class VersionPlanner {
public:
  VersionPlanner(std::string Node, Bounds Limits)
      : Node(std::move(Node)), Limits(Limits) {}

  Routing::VersionPolicy plan(const ProgressTable &Table,
                              const VersionCounts &Counts,
                              Common::SteadyTime Now);

private:
  struct ServiceVersions {
    std::set<std::string> Established;
    std::map<std::string, Common::SteadyTime> FirstSeen;
  };

  const std::string *versionToHold(const std::string &Service,
                                   const std::map<std::string, int> &Counts,
                                   Common::SteadyTime Now);

  std::string Node;
  Bounds Limits;
  std::map<std::string, ServiceVersions> Services;
};

} // namespace Rollout
