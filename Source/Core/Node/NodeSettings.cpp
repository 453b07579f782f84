#include "Node/NodeSettings.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

#include "Common/Error.h"
#include "Common/MachineLimits.h"

namespace Node {

using Common::SettingType;

namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t Second = 1'000'000;
constexpr std::int64_t MaxRetention = 2'592'000 * Second;

SeedAddress parseSeed(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  SeedAddress Seed;
  Seed.Address = Text.substr(0, Colon);
  const char *End = Text.data() + Text.size();
  const char *Start =
      Colon == std::string::npos ? End : Text.data() + Colon + 1;
  const auto [Rest, Failure] = std::from_chars(Start, End, Seed.Port);
  if (Failure != std::errc() || Rest != End || Seed.Port < 1 ||
      Seed.Port > MaxPort)
    throw Common::Error(Common::ResultCode::SettingsWrongType,
                        "[members] seeds: " + Text + " is not IP:port");
  return Seed;
}

ChoiceKind parseChoice(const std::string &Text) {
  static const std::map<std::string, ChoiceKind> Names = {
      {"ours", ChoiceKind::Adaptive},
      {"two-choices", ChoiceKind::TwoChoices},
      {"least-requests", ChoiceKind::LeastRequests},
      {"round-robin", ChoiceKind::RoundRobin},
      {"random", ChoiceKind::Random}};
  const auto Found = Names.find(Text);
  if (Found == Names.end())
    throw Common::Error(Common::ResultCode::SettingsWrongType,
                        "[calls] choice: " + Text + " is not a known policy");
  return Found->second;
}

AdmissionOrder parseAdmission(const std::string &Text) {
  if (Text == "lanes")
    return AdmissionOrder::Lanes;
  if (Text == "fifo")
    return AdmissionOrder::Fifo;
  throw Common::Error(Common::ResultCode::SettingsWrongType,
                      "[calls] admission: " + Text +
                          " is neither lanes nor fifo");
}

std::size_t parseMegabytes(const std::string &Text) {
  constexpr double BytesPerMegabyte = 1e6;
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Rest != End || !(Value >= 1))
    throw Common::Error(Common::ResultCode::SettingsWrongType,
                        "[node] memory-limit: " + Text +
                            " is not a number of at least 1");
  return static_cast<std::size_t>(Value * BytesPerMegabyte);
}

bool parseEveryNodeReads(const std::string &Follow) {
  if (Follow != "readers" && Follow != "all")
    throw Common::Error(Common::ResultCode::SettingsWrongType,
                        "[log] follow: " + Follow +
                            " is neither readers nor all");
  return Follow == "all";
}

// Allows for a batcher that reads the log late and for a log that expires
// records in coarse steps.
constexpr Common::Micros RetentionMargin{30'000'000};

void readClaimSettings(const Common::Settings &From, NodeSettings &Result) {
  Result.ClaimStream = From.text("claims", "stream");
  Result.ClaimWindow.Length = From.time("claims", "window");
  Result.ClaimInterval = From.time("claims", "interval");
  Result.ClaimBatch = static_cast<std::size_t>(From.integer("claims", "batch"));
  Result.ClaimAnswerLimit =
      static_cast<std::size_t>(From.integer("claims", "answer-limit"));
  const Common::Micros Needed = Result.ClaimWindow.Length +
                                Result.ClaimWindow.ClockSkew + RetentionMargin;
  if (From.time("log", "retention") < Needed)
    throw Common::Error(Common::ResultCode::SettingsOutOfRange,
                        "[claims] window: [log] retention must be at least " +
                            Common::formatDuration(Needed));
}

} // namespace

const std::vector<Common::SettingRule> &nodeSettingRules() {
  static const std::vector<Common::SettingRule> Rules = {
      {"node", "name", SettingType::Text, {}, 0, 0, "unique name of the node"},
      {"node",
       "data-centre",
       SettingType::Text,
       {},
       0,
       0,
       "data centre of the VM"},
      {"node", "address", SettingType::Text, {}, 0, 0, "IP address of the VM"},
      {"node", "memory-limit", SettingType::Text, "512", 0, 0,
       "memory of the machine in MB; what callers and peers may take of it is "
       "bounded by shares of it; what the process can use counts if it is "
       "less"},
      {"node", "descriptor-limit", SettingType::Integer, "65536", 16,
       10'000'000,
       "descriptors that the process may have open; three quarters of them are "
       "for connections of callers; its resource limit counts if it is less"},
      {"calls", "port", SettingType::Integer, "0", 0, MaxPort,
       "HTTP port for callers; 0 selects a free port"},
      {"calls", "body-limit", SettingType::Integer, "1048576", 1024, 8 << 20,
       "maximum size of a request body, in bytes"},
      {"calls", "open-limit", SettingType::Integer, "20000", 1, 1'000'000,
       "maximum number of open calls; further calls are refused as not run"},
      {"calls", "choice", SettingType::Text, "ours", 0, 0,
       "policy that chooses a backend server: ours (adaptive), two-choices, "
       "least-requests, round-robin or random"},
      {"calls", "admission", SettingType::Text, "lanes", 0, 0,
       "order of queued calls: lanes (short and long calls apart) or fifo"},
      {"peers", "port", SettingType::Integer, "0", 0, MaxPort,
       "TCP port for other nodes"},
      {"peers", "echo-interval", SettingType::Time, "400ms", 1'000, 60 * Second,
       "time between echoes on a connection with pending replies"},
      {"peers", "idle-echo-interval", SettingType::Time, "10s", 1'000,
       600 * Second, "time between echoes on any other connection"},
      {"peers", "echo-limit", SettingType::Time, "1200ms", 10'000, 60 * Second,
       "time without an echo answer after which a connection is replaced"},
      {"members",
       "port",
       SettingType::Integer,
       {},
       1,
       MaxPort,
       "UDP port for membership"},
      {"members", "seeds", SettingType::Text, "", 0, 0,
       "IP:port of some members to join through, separated by spaces"},
      {"members", "probe-interval", SettingType::Time, "400ms", 10'000,
       60 * Second, "time between probes; each probe goes to one other member"},
      {"members", "probe-timeout", SettingType::Time, "150ms", 1'000,
       60 * Second,
       "time without an ack after which other members probe a member"},
      {"members", "suspicion-limit", SettingType::Time, "800ms", 50'000,
       600 * Second,
       "time in which a suspected member must refute the suspicion"},
      {"members", "announcement-limit", SettingType::Time, "3s", 100'000,
       600 * Second,
       "time without an announcement after which the backend server is "
       "withdrawn"},
      {"members", "leave-delay", SettingType::Time, "1s", 0, 60 * Second,
       "time between announcing that the node leaves and refusing calls"},
      {"members", "drain-limit", SettingType::Time, "1h", Second,
       86400 * Second, "maximum time that a stop waits for running calls"},
      {"members", "serve-on-limit", SettingType::Time, "0ms", 0, 3600 * Second,
       "how long new calls are still admitted to the server after leave-delay"},
      {"control", "port", SettingType::Integer, "0", 0, MaxPort,
       "TCP port for configuration and claims between nodes"},
      {"admin", "port", SettingType::Integer, "0", 0, MaxPort,
       "HTTP port for operators and the backend server"},
      {"log",
       "url",
       SettingType::Text,
       {},
       0,
       0,
       "platform log, http://IP:port"},
      {"log", "stream", SettingType::Text, "config", 0, 0,
       "stream of configuration records"},
      {"log", "follow", SettingType::Text, "readers", 0, 0,
       "nodes that read the log: readers (one per data centre) or all"},
      {"log", "checkpoint-stream", SettingType::Text, "checkpoints", 0, 0,
       "stream of checkpoints"},
      {"log", "checkpoint-interval", SettingType::Time, "10m", Second,
       86400 * Second,
       "time between checkpoints; must be well below the retention"},
      {"log", "wait", SettingType::Time, "2s", 10'000, 300 * Second,
       "how long one read of the log waits for new records"},
      {"log", "retention", SettingType::Time, "1h", Second, MaxRetention,
       "minimum time for which the platform log keeps records"},
      {"claims", "stream", SettingType::Text, "claims", 0, 0,
       "stream of claims; must be the same in all data centres"},
      {"claims", "window", SettingType::Time, "10m", Second, 86400 * Second,
       "lifetime of an idempotency key; must be the same on all nodes"},
      {"claims", "interval", SettingType::Time, "25ms", 1000, Second,
       "minimum time between two appends of claims by one node"},
      {"claims", "batch", SettingType::Integer, "100", 1, 10'000,
       "maximum number of claims, and of outcomes, in one append"},
      {"claims", "answer-limit", SettingType::Integer, "16384", 0, 1 << 20,
       "maximum size of a recorded reply, in bytes"},
      {"output", "log-level", SettingType::Text, "info", 0, 0,
       "trace, debug, info, warning, error, critical or off"},
      {"output", "log-pattern", SettingType::Text,
       "%Y-%m-%dT%H:%M:%S.%e %n %l %v", 0, 0, "spdlog pattern"},
  };
  return Rules;
}

// Leaves the process time to end before the platform kills it, more where the
// platform allows for slower VMs.
Common::Micros drainLimitWithin(std::chrono::duration<double> Grace) {
  constexpr double MarginShare = 1.0 / 12;
  constexpr std::chrono::duration<double> MinMargin{0.5};
  const auto Limit = Grace - std::max(MinMargin, Grace * MarginShare);
  return std::max(Common::Micros(0),
                  std::chrono::duration_cast<Common::Micros>(Limit));
}

NodeSettings readNodeSettings(const Common::Settings &From) {
  NodeSettings Result;
  Result.Name = From.text("node", "name");
  Result.DataCentre = From.text("node", "data-centre");
  Result.Address = From.text("node", "address");
  Result.CallAddress = Result.Address;
  Result.CallPort = static_cast<int>(From.integer("calls", "port"));
  // The file may state more than there is, or nothing.
  Result.MemoryLimit =
      std::min(parseMegabytes(From.text("node", "memory-limit")),
               Common::usableMemory());
  Result.DescriptorLimit = std::min(
      static_cast<std::size_t>(From.integer("node", "descriptor-limit")),
      Common::usableDescriptors());
  Result.BodyLimit =
      static_cast<std::size_t>(From.integer("calls", "body-limit"));
  Result.OpenCallLimit =
      static_cast<std::size_t>(From.integer("calls", "open-limit"));
  Result.Choice = parseChoice(From.text("calls", "choice"));
  Result.Admission = parseAdmission(From.text("calls", "admission"));
  Result.PeerPort = static_cast<int>(From.integer("peers", "port"));
  Result.EchoInterval = From.time("peers", "echo-interval");
  Result.IdleEchoInterval = From.time("peers", "idle-echo-interval");
  Result.EchoLimit = From.time("peers", "echo-limit");
  Result.MemberPort = static_cast<int>(From.integer("members", "port"));
  Result.ControlPort = static_cast<int>(From.integer("control", "port"));
  Result.AdminPort = static_cast<int>(From.integer("admin", "port"));
  std::istringstream Seeds(From.text("members", "seeds"));
  for (std::string Seed; Seeds >> Seed;)
    Result.Seeds.push_back(parseSeed(Seed));
  Result.ProbeInterval = From.time("members", "probe-interval");
  Result.ProbeTimeout = From.time("members", "probe-timeout");
  Result.SuspicionLimit = From.time("members", "suspicion-limit");
  Result.AnnouncementLimit = From.time("members", "announcement-limit");
  Result.LeaveDelay = From.time("members", "leave-delay");
  Result.DrainLimit = From.time("members", "drain-limit");
  Result.ServeOnLimit = From.time("members", "serve-on-limit");
  Result.LogUrl = From.text("log", "url");
  Result.LogStream = From.text("log", "stream");
  Result.LogWait = From.time("log", "wait");
  Result.EveryNodeReads = parseEveryNodeReads(From.text("log", "follow"));
  Result.CheckpointStream = From.text("log", "checkpoint-stream");
  Result.CheckpointInterval = From.time("log", "checkpoint-interval");
  readClaimSettings(From, Result);
  return Result;
}

} // namespace Node
