#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Config/ObjectSet.h"
#include "Operator/SyncHttp.h"

namespace Operator {

// A node that did not report the version in time.
struct Laggard {
  std::string Node;
  // What it reported last; empty when it did not answer.
  std::optional<Config::Version> Held;
};

// The version in a node's status page.
std::optional<Config::Version> versionInStatus(const std::string &Text);

// Asks the nodes' admin sockets until all have the version or a later one in
// force, for at most Limit. Returns those that lag.
std::vector<Laggard> waitForNodes(SyncHttp &Transport,
                                  const std::vector<std::string> &Nodes,
                                  Config::Version Wanted, Common::Micros Limit);

} // namespace Operator
