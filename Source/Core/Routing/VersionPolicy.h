#pragma once

#include <map>
#include <memory>
#include <string>

namespace Routing {

// How the calls to a service are divided between the servers of two software
// versions while it is moved to the target version.
struct VersionSplit {
  std::string Target;
  // The share of the calls that go to servers of the target version, from 0 to
  // 1. At 0 none is sent there, at 1 none to any other version.
  double TargetShare = 0;
  // The number of servers of the target version that take part; 0 means all.
  // Few servers under full load show what many under light load hide.
  int MaxTargetServers = 0;
  // The part of a call to the target version that is due at first, from 0 to 1.
  double InitialCredit = 0;

  bool operator==(const VersionSplit &) const = default;
};

// The split of each service that is being moved. All versions of any other
// service are treated alike.
using VersionPolicy = std::map<std::string, VersionSplit>;
using VersionPolicyPtr = std::shared_ptr<const VersionPolicy>;

} // namespace Routing
