#include "Operator/Convergence.h"

#include <charconv>
#include <thread>

namespace Operator {

namespace {

constexpr Common::Millis PollPause{50};
constexpr Common::Micros StatusLimit{1'000'000};

std::optional<Config::Version> askNode(SyncHttp &Transport,
                                       const std::string &Node) {
  Http::ClientRequest Asked;
  Asked.Url = "http://" + Node + "/v1/status";
  Asked.Timeout = StatusLimit;
  const Http::ClientResult Result = Transport.send(std::move(Asked));
  if (!Result.Answered)
    return std::nullopt;
  return versionInStatus(Result.Reply.Body);
}

} // namespace

std::optional<Config::Version> versionInStatus(const std::string &Text) {
  const std::string Key = "\nversion = ";
  const std::size_t At = Text.find(Key);
  if (At == std::string::npos)
    return std::nullopt;
  const char *Start = Text.data() + At + Key.size();
  Config::Version Number = 0;
  const auto [Rest, Failure] =
      std::from_chars(Start, Text.data() + Text.size(), Number);
  if (Failure != std::errc())
    return std::nullopt;
  return Number;
}

std::vector<Laggard> waitForNodes(SyncHttp &Transport,
                                  const std::vector<std::string> &Nodes,
                                  Config::Version Wanted,
                                  Common::Micros Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  std::vector<Laggard> Lagging;
  Lagging.reserve(Nodes.size());
  for (const std::string &Each : Nodes)
    Lagging.push_back({Each, std::nullopt});
  while (true) {
    std::erase_if(Lagging, [&](Laggard &Each) {
      Each.Held = askNode(Transport, Each.Node);
      return Each.Held && *Each.Held >= Wanted;
    });
    if (Lagging.empty() || std::chrono::steady_clock::now() >= End)
      return Lagging;
    std::this_thread::sleep_for(PollPause);
  }
}

} // namespace Operator
