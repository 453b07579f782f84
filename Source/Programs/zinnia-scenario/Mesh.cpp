#include "Programs/zinnia-scenario/Mesh.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "Common/Error.h"
#include "Common/IniDocument.h"
#include "Common/UniqueFd.h"

namespace Scenario {

using Common::Error;
using Common::ResultCode;

namespace {

const std::string Loopback = "127.0.0.1";
constexpr Common::Millis PollInterval{5};
constexpr std::chrono::seconds StartTimeout{10};

bool canBind(int Type, int Port) {
  const Common::UniqueFd Socket(::socket(AF_INET, Type, 0));
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return ::bind(Socket.value(), reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) == 0;
}

std::string onLoopback(int Port) {
  return Loopback + ":" + std::to_string(Port);
}

} // namespace

Mesh::Mesh(std::string BinFolder, std::string RunFolder)
    : BinFolder(std::move(BinFolder)), RunFolder(std::move(RunFolder)) {}

int Mesh::freePort() {
  // The ports lie below the system's ephemeral range, so that no outgoing
  // connection takes the port between this check and its use.
  static std::mt19937 Random(std::random_device{}());
  std::uniform_int_distribution<int> Pick(12000, 30000);
  for (;;) {
    const int Port = Pick(Random);
    const bool IsUsed =
        std::find(UsedPorts.begin(), UsedPorts.end(), Port) != UsedPorts.end();
    if (IsUsed || !canBind(SOCK_STREAM, Port) || !canBind(SOCK_DGRAM, Port))
      continue;
    UsedPorts.push_back(Port);
    return Port;
  }
}

Process &Mesh::findProcess(const std::string &Name) {
  const auto Found = Processes.find(Name);
  if (Found == Processes.end())
    throw Error(ResultCode::UsageError, "unknown process " + Name);
  return *Found->second;
}

void Mesh::launch(const std::string &Name, std::vector<std::string> Args) {
  Args[0] = BinFolder + "/" + Args[0];
  Processes[Name] = std::make_unique<Process>(
      Args, RunFolder + "/" + Name + ".out", RunFolder + "/" + Name + ".log");
}

void Mesh::startLog(const std::string &Retention) {
  if (LogPort == 0)
    LogPort = freePort();
  launch("log", {"zinnia-standin-log", "--port", std::to_string(LogPort),
                 "--retention", Retention});
  // Waits until the log answers, so that a script can publish at once.
  const auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  while (fetch(LogPort, "/").empty()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      throw Error(ResultCode::LogUnavailable, "the log stand-in did not start");
    std::this_thread::sleep_for(PollInterval);
  }
}

void Mesh::startNode(const std::string &Name, const std::string &DataCentre,
                     const std::map<std::string, std::string> &ExtraSettings) {
  NodePorts Ports;
  Ports.Call = freePort();
  Ports.Peer = freePort();
  Ports.Member = freePort();
  Ports.Admin = freePort();
  Ports.Control = freePort();
  Nodes[Name] = Ports;
  Seeds += (Seeds.empty() ? "" : " ") + onLoopback(Ports.Member);

  std::map<std::string, std::map<std::string, std::string>> Sections;
  Sections["node"] = {
      {"name", Name}, {"data-centre", DataCentre}, {"address", Loopback}};
  Sections["calls"]["port"] = std::to_string(Ports.Call);
  Sections["peers"]["port"] = std::to_string(Ports.Peer);
  Sections["members"] = {{"port", std::to_string(Ports.Member)},
                         {"seeds", Seeds}};
  Sections["control"]["port"] = std::to_string(Ports.Control);
  Sections["admin"]["port"] = std::to_string(Ports.Admin);
  Sections["log"]["url"] = "http://" + onLoopback(LogPort);
  for (const auto &[Key, Value] : ExtraSettings) {
    const std::size_t Dot = Key.find('.');
    Sections[Key.substr(0, Dot)][Key.substr(Dot + 1)] = Value;
  }
  std::ofstream Out(RunFolder + "/" + Name + ".ini");
  for (const auto &[Section, Keys] : Sections) {
    Out << "[" << Section << "]\n";
    for (const auto &[Key, Value] : Keys)
      Out << Key << " = " << Value << "\n";
  }
  Out.close();
  restartNode(Name);
}

void Mesh::restartNode(const std::string &Name) {
  portsOf(Name);
  launch(Name, {"zinnia-node", "--settings", RunFolder + "/" + Name + ".ini"});
}

void Mesh::startServer(const std::string &Name, const ServerOptions &Options) {
  if (!ServerPorts.contains(Name))
    ServerPorts[Name] = freePort();
  launch(Name,
         {"zinnia-standin-backend", "--name", Name, "--service",
          Options.Service, "--port", std::to_string(ServerPorts[Name]),
          "--slots", std::to_string(Options.Slots), "--work", Options.Work,
          "--node-admin", onLoopback(portsOf(Options.Beside).Admin)});
}

void Mesh::startLoad(const std::string &Name, const LoadRequest &Request) {
  std::vector<std::string> Args = {"zinnia-load",
                                   "--path",
                                   Request.Path,
                                   "--method",
                                   Request.Method,
                                   "--length",
                                   Request.Length,
                                   "--limit",
                                   Request.Limit,
                                   "--rate",
                                   std::to_string(Request.Rate),
                                   "--id-prefix",
                                   Name + "-"};
  if (!Request.Query.empty())
    Args.insert(Args.end(), {"--query", Request.Query});
  for (const std::string &Node : Request.Nodes)
    Args.insert(Args.end(), {"--target", onLoopback(portsOf(Node).Call)});
  launch(Name, Args);
}

void Mesh::signal(const std::string &Name, int Signal) {
  findProcess(Name).signal(Signal);
}

bool Mesh::hasExited(const std::string &Name) {
  return findProcess(Name).hasExited();
}

int Mesh::exitCode(const std::string &Name) {
  return findProcess(Name).exitCode();
}

std::pair<int, std::string>
Mesh::runCommand(const std::vector<std::string> &Args) {
  const std::string OutFile = RunFolder + "/command.out";
  std::ofstream(OutFile).close();
  Process Command(Args, OutFile, OutFile);
  while (!Command.hasExited())
    std::this_thread::sleep_for(PollInterval);
  return {Command.exitCode(), Common::readFile(OutFile)};
}

std::pair<int, std::string>
Mesh::runZinniactl(const std::vector<std::string> &Args) {
  std::vector<std::string> Command = {BinFolder + "/zinniactl", "--log",
                                      "http://" + onLoopback(LogPort)};
  Command.insert(Command.end(), Args.begin(), Args.end());
  return runCommand(Command);
}

std::pair<int, std::string>
Mesh::runBurn(const std::map<std::string, std::string> &Services) {
  const std::string File = RunFolder + "/burn.ini";
  std::ofstream Out(File);
  Out << "[nodes]\nadmin =";
  for (const auto &[Name, Ports] : Nodes)
    Out << " " << onLoopback(Ports.Admin);
  for (const auto &[Name, Service] : Services)
    Out << "\n[objective " << Name << "]\nservice = " << Service
        << "\ntarget-percent = 99.9";
  Out << "\n";
  Out.close();
  return runCommand({BinFolder + "/zinnia-burn", "--settings", File, "--page",
                     RunFolder + "/burn.html"});
}

void Mesh::postFaults(int Port, const std::string &Ini) {
  Http::ClientRequest Request;
  Request.Method = "POST";
  Request.Url = "http://" + onLoopback(Port) + "/standin/faults";
  Request.Body = "[faults]\n" + Ini;
  const Http::ClientResult Result = Transport.send(std::move(Request));
  if (!Result.Answered || Result.Reply.Status != 200)
    throw Error(ResultCode::UsageError,
                "setting faults failed: " + Result.Reply.Body);
}

void Mesh::setLogFaults(const std::string &Ini) { postFaults(LogPort, Ini); }

void Mesh::setServerFaults(const std::string &Name, const std::string &Ini) {
  const auto Found = ServerPorts.find(Name);
  if (Found == ServerPorts.end())
    throw Error(ResultCode::UsageError, "unknown backend server " + Name);
  postFaults(Found->second, Ini);
}

std::string Mesh::fetch(int Port, const std::string &Path) {
  Http::ClientRequest Request;
  Request.Url = "http://" + onLoopback(Port) + Path;
  Request.Timeout = Common::Millis(500);
  const Http::ClientResult Result = Transport.send(std::move(Request));
  return Result.Answered ? Result.Reply.Body : "";
}

const Mesh::NodePorts &Mesh::portsOf(const std::string &Node) const {
  const auto Found = Nodes.find(Node);
  if (Found == Nodes.end())
    throw Error(ResultCode::UsageError, "unknown node " + Node);
  return Found->second;
}

NodeStatus Mesh::status(const std::string &Name) {
  const std::string Page = fetch(portsOf(Name).Admin, "/v1/status");
  NodeStatus Status;
  Status.Answered = !Page.empty();
  for (const Common::IniSection &Section :
       Common::parseIni("status", Page).Sections)
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (Section.Name == "node" && Entry.Key == "version")
        Status.Version = std::stoll(Entry.Value);
      else if (Section.Name.rfind("service ", 0) == 0)
        Status.Servers.push_back(Entry.Key);
    }
  return Status;
}

std::map<std::string, std::string> Mesh::report(const std::string &Name) {
  std::map<std::string, std::string> Values;
  std::istringstream Lines(Common::readFile(RunFolder + "/" + Name + ".out"));
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t Space = Line.rfind(' ');
    if (Space != std::string::npos)
      Values[Line.substr(0, Space)] = Line.substr(Space + 1);
  }
  return Values;
}

int Mesh::countRepeatedCalls(const std::string &LoadName) {
  std::map<std::string, int> Runs;
  for (const auto &[Server, Port] : ServerPorts) {
    std::istringstream Lines(fetch(Port, "/standin/ledger"));
    std::string Id;
    int Count = 0;
    while (Lines >> Id >> Count)
      if (Id.rfind(LoadName + "-", 0) == 0)
        Runs[Id] += Count;
  }
  return static_cast<int>(
      std::count_if(Runs.begin(), Runs.end(),
                    [](const auto &Run) { return Run.second > 1; }));
}

} // namespace Scenario
