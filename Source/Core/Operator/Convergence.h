#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Config/ObjectSet.h"
#include "Operator/SyncHttp.h"

namespace Operator {

// A node that did not report the expected version in time.
struct LaggingNode {
  std::string Node;
  // The version it last reported; empty when it did not answer.
  std::optional<Config::Version> Version;
};

// Parses the version from a node's status page.
std::optional<Config::Version> parseStatusVersion(const std::string &Text);

// Polls the nodes' admin sockets until all of them have the version or a later
// one in force, or Timeout has passed. Returns the nodes that still lag.
std::vector<LaggingNode> waitForNodes(SyncHttp &Transport,
                                      const std::vector<std::string> &Nodes,
                                      Config::Version Version,
                                      Common::Micros Timeout);

} // namespace Operator
