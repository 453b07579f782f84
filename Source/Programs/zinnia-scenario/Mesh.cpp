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
constexpr std::chrono::seconds StartLimit{10};

bool canBind(int Type, int Port) {
  const Common::UniqueFd Socket(::socket(AF_INET, Type, 0));
  sockaddr_in Where = {};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(static_cast<std::uint16_t>(Port));
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return ::bind(Socket.value(), reinterpret_cast<sockaddr *>(&Where),
                sizeof Where) == 0;
}

std::string onLoopback(int Port) {
  return Loopback + ":" + std::to_string(Port);
}

} // namespace

Mesh::Mesh(std::string BinFolder, std::string RunFolder)
    : BinFolder(std::move(BinFolder)), RunFolder(std::move(RunFolder)) {}

int Mesh::freePort() {
  // Below the range that the system gives to outgoing connections, so that
  // nothing takes the port between this check and its use.
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

Process &Mesh::find(const std::string &Name) {
  const auto Found = Processes.find(Name);
  if (Found == Processes.end())
    throw Error(ResultCode::UsageError, "no process is called " + Name);
  return *Found->second;
}

void Mesh::launch(const std::string &Name, std::vector<std::string> Words) {
  Words[0] = BinFolder + "/" + Words[0];
  Processes[Name] = std::make_unique<Process>(
      Words, RunFolder + "/" + Name + ".out", RunFolder + "/" + Name + ".log");
}

void Mesh::startLog(const std::string &Retention) {
  if (LogPort == 0)
    LogPort = freePort();
  launch("log", {"zinnia-standin-log", "--port", std::to_string(LogPort),
                 "--retention", Retention});
  // A script that publishes at once must not race the log's start.
  const auto End = std::chrono::steady_clock::now() + StartLimit;
  while (fetch(LogPort, "/").empty()) {
    if (std::chrono::steady_clock::now() >= End)
      throw Error(ResultCode::LogUnavailable, "the log did not start");
    std::this_thread::sleep_for(PollInterval);
  }
}

void Mesh::startNode(const std::string &Name, const std::string &DataCentre,
                     const std::map<std::string, std::string> &Extra) {
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
  for (const auto &[Key, Value] : Extra) {
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

void Mesh::startLoad(const std::string &Name, const LoadRequest &Asked) {
  std::vector<std::string> Words = {"zinnia-load",
                                    "--path",
                                    Asked.Path,
                                    "--method",
                                    Asked.Method,
                                    "--length",
                                    Asked.Length,
                                    "--limit",
                                    Asked.Limit,
                                    "--rate",
                                    std::to_string(Asked.Rate),
                                    "--id-prefix",
                                    Name + "-"};
  if (!Asked.Query.empty())
    Words.insert(Words.end(), {"--query", Asked.Query});
  for (const std::string &Node : Asked.Nodes)
    Words.insert(Words.end(), {"--target", onLoopback(portsOf(Node).Call)});
  launch(Name, Words);
}

void Mesh::signal(const std::string &Name, int Number) {
  find(Name).signal(Number);
}

bool Mesh::hasEnded(const std::string &Name) { return find(Name).hasEnded(); }

int Mesh::exitCode(const std::string &Name) { return find(Name).exitCode(); }

std::pair<int, std::string>
Mesh::runToEnd(const std::vector<std::string> &Words) {
  const std::string OutFile = RunFolder + "/command.out";
  std::ofstream(OutFile).close();
  Process Command(Words, OutFile, OutFile);
  while (!Command.hasEnded())
    std::this_thread::sleep_for(PollInterval);
  return {Command.exitCode(), Common::readFile(OutFile)};
}

std::pair<int, std::string>
Mesh::control(const std::vector<std::string> &Words) {
  std::vector<std::string> All = {BinFolder + "/zinniactl", "--log",
                                  "http://" + onLoopback(LogPort)};
  All.insert(All.end(), Words.begin(), Words.end());
  return runToEnd(All);
}

std::pair<int, std::string>
Mesh::burn(const std::map<std::string, std::string> &Services) {
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
  return runToEnd({BinFolder + "/zinnia-burn", "--settings", File, "--page",
                   RunFolder + "/burn.html"});
}

void Mesh::postFaults(int Port, const std::string &Ini) {
  Http::ClientRequest Asked;
  Asked.Method = "POST";
  Asked.Url = "http://" + onLoopback(Port) + "/standin/faults";
  Asked.Body = "[faults]\n" + Ini;
  const Http::ClientResult Answer = Transport.send(std::move(Asked));
  if (!Answer.Answered || Answer.Reply.Status != 200)
    throw Error(ResultCode::UsageError,
                "faults were not taken: " + Answer.Reply.Body);
}

void Mesh::setLogFaults(const std::string &Ini) { postFaults(LogPort, Ini); }

void Mesh::setServerFaults(const std::string &Name, const std::string &Ini) {
  const auto Found = ServerPorts.find(Name);
  if (Found == ServerPorts.end())
    throw Error(ResultCode::UsageError, "no backend server is called " + Name);
  postFaults(Found->second, Ini);
}

std::string Mesh::fetch(int Port, const std::string &Path) {
  Http::ClientRequest Asked;
  Asked.Url = "http://" + onLoopback(Port) + Path;
  Asked.Timeout = Common::Millis(500);
  const Http::ClientResult Answer = Transport.send(std::move(Asked));
  return Answer.Answered ? Answer.Reply.Body : "";
}

const Mesh::NodePorts &Mesh::portsOf(const std::string &Node) const {
  const auto Found = Nodes.find(Node);
  if (Found == Nodes.end())
    throw Error(ResultCode::UsageError, "no node is called " + Node);
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

int Mesh::countDoubled(const std::string &LoadName) {
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
                    [](const auto &Each) { return Each.second > 1; }));
}

} // namespace Scenario
