#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Operator/SyncHttp.h"
#include "Programs/zinnia-scenario/Process.h"

namespace Scenario {

// The options of a backend server.
struct ServerOptions {
  std::string Service;
  // The node that the server announces itself to.
  std::string Beside;
  int Slots = 6;
  std::string Work = "0us";
};

// The calls that one zinnia-load process sends.
struct LoadRequest {
  std::vector<std::string> Nodes;
  std::string Path = "/";
  std::string Method = "GET";
  std::string Query;
  double Rate = 100;
  std::string Length = "1s";
  std::string Limit = "5s";
};

// Values from the status page of a node.
struct NodeStatus {
  bool Answered = false;
  long long Version = 0;
  std::vector<std::string> Servers;
};

// The processes of one scenario on loopback: a log stand-in, nodes, backend
// servers and callers. The destructor kills all of them.
class Mesh {
public:
  // Starts the programs in BinFolder and writes settings and logs to RunFolder.
  Mesh(std::string BinFolder, std::string RunFolder);

  void startLog(const std::string &Retention);
  void startNode(const std::string &Name, const std::string &DataCentre,
                 const std::map<std::string, std::string> &ExtraSettings);
  // Starts a node again with the same name and settings.
  void restartNode(const std::string &Name);
  void startServer(const std::string &Name, const ServerOptions &Options);
  void startLoad(const std::string &Name, const LoadRequest &Request);

  void signal(const std::string &Name, int Signal);
  bool hasExited(const std::string &Name);
  int exitCode(const std::string &Name);

  // Runs zinniactl on the log; returns its exit code and output.
  std::pair<int, std::string>
  runZinniactl(const std::vector<std::string> &Args);
  // Runs zinnia-burn on all nodes with an objective of 99.9% for each entry of
  // Services, a map from objective name to service. Returns its exit code and
  // output.
  std::pair<int, std::string>
  runBurn(const std::map<std::string, std::string> &Services);
  void setLogFaults(const std::string &Ini);
  void setServerFaults(const std::string &Name, const std::string &Ini);
  NodeStatus status(const std::string &Name);
  // The "key value" lines of a load's report.
  std::map<std::string, std::string> report(const std::string &Name);
  // The number of calls of a load that were executed more than once, summed
  // over all servers.
  int countRepeatedCalls(const std::string &LoadName);

private:
  struct NodePorts {
    int Call = 0;
    int Peer = 0;
    int Member = 0;
    int Admin = 0;
    int Control = 0;
  };

  int freePort();
  Process &findProcess(const std::string &Name);
  void launch(const std::string &Name, std::vector<std::string> Args);
  std::pair<int, std::string> runCommand(const std::vector<std::string> &Args);
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
