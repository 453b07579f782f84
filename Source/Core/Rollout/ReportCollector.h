#pragma once

#include <map>
#include <string>
#include <vector>

#include "Rollout/Coordinator.h"
#include "Rollout/ServerWatch.h"

namespace Rollout {

// What the server beside a node did.
struct NodeReport {
  std::string Node;
  WatchOrder Followed;
  // Calls that are running or waiting at the node.
  std::int64_t OpenCalls = 0;
  Evidence Calls;
};

// A live server that is not leaving, and the node beside it.
struct ServerAtNode {
  std::string Node;
  std::string Service;
  std::string Version;
};

// Sums up what the nodes of one data centre report, for the coordinator.
class ReportCollector {
public:
  explicit ReportCollector(std::string DataCentre)
      : DataCentre(std::move(DataCentre)) {}

  // The servers of the data centre.
  void setServers(std::vector<ServerAtNode> Current) {
    Servers = std::move(Current);
  }
  void handleReport(NodeReport Received, Common::SteadyTime Now);
  Report summarise(const Progress &Known, Common::SteadyTime Now) const;

private:
  struct KnownReport {
    NodeReport Content;
    Common::SteadyTime ReceivedAt;
  };

  std::string DataCentre;
  std::vector<ServerAtNode> Servers;
  std::map<std::string, KnownReport> Reports;
};

} // namespace Rollout
