#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Operator/SyncHttp.h"
#include "Programs/zinnia-scenario/Process.h"

namespace Scenario {

struct ServerOptions {
  std::string Service;
  std::string Beside;
  int Slots = 6;
  std::string Work = "0us";
};

struct LoadRequest {
  std::vector<std::string> Nodes;
  std::string Path = "/";
  std::string Method = "GET";
  std::string Query;
  double Rate = 100;
  std::string Length = "1s";
  std::string Limit = "5s";
};

struct NodeStatus {
  bool Answered = false;
  long long Version = 0;
  std::vector<std::string> Servers;
};

// The processes of one scenario on loopback: a log stand-in, nodes, backend
// servers and callers. Everything ends with it.
class Mesh {
public:
  // BinFolder holds the programs, RunFolder takes settings and logs.
  Mesh(std::string BinFolder, std::string RunFolder);

  void startLog(const std::string &Retention);
  void startNode(const std::string &Name, const std::string &DataCentre,
                 const std::map<std::string, std::string> &Extra);
  // Starts a node again under its name and settings.
  void restartNode(const std::string &Name);
  void startServer(const std::string &Name, const ServerOptions &Options);
  void startLoad(const std::string &Name, const LoadRequest &Asked);

  void signal(const std::string &Name, int Number);
  bool hasEnded(const std::string &Name);
  int exitCode(const std::string &Name);

  // Exit code and output of zinniactl with the log's address.
  std::pair<int, std::string> control(const std::vector<std::string> &Words);
  // Exit code and output of zinnia-burn over all nodes, for objectives of 99.9%
  // by name and service.
  std::pair<int, std::string>
  burn(const std::map<std::string, std::string> &Services);
  void setLogFaults(const std::string &Ini);
  void setServerFaults(const std::string &Name, const std::string &Ini);
  NodeStatus status(const std::string &Name);
  // "key value" lines of a load's report.
  std::map<std::string, std::string> report(const std::string &Name);
  // Calls of a load that ran more than once, over all servers.
  int countDoubled(const std::string &LoadName);

private:
  struct NodePorts {
    int Call = 0;
    int Peer = 0;
    int Member = 0;
    int Admin = 0;
    int Control = 0;
  };

  int freePort();
  Process &find(const std::string &Name);
  void launch(const std::string &Name, std::vector<std::string> Words);
  std::pair<int, std::string> runToEnd(const std::vector<std::string> &Words);
  void postFaults(int Port, const std::string &Ini);
  std::string fetch(int Port, const std::string &Path);
  const NodePorts &portsOf(const std::string &Node) const;

  std::string BinFolder;
  std::string RunFolder;
  std::vector<int> UsedPorts;
  int LogPort = 0;
  std::string Seeds;
  std::map<std::string, NodePorts> Nodes;
  std::map<std::string, int> ServerPorts;
  std::map<std::string, std::unique_ptr<Process>> Processes;
  Operator::SyncHttp Transport;
};

} // namespace Scenario
