#include "Operator/Convergence.h"

#include <charconv>
#include <thread>

namespace Operator {

namespace {

constexpr Common::Millis PollInterval{50};
constexpr Common::Micros StatusTimeout{1'000'000};

std::optional<Config::Version> fetchVersion(SyncHttp &Transport,
                                            const std::string &Node) {
  Http::ClientRequest Request;
  Request.Url = "http://" + Node + "/v1/status";
  Request.Timeout = StatusTimeout;
  const Http::ClientResult Result = Transport.send(std::move(Request));
  if (!Result.Answered)
    return std::nullopt;
  return parseStatusVersion(Result.Reply.Body);
}

} // namespace

std::optional<Config::Version> parseStatusVersion(const std::string &Text) {
  const std::string Key = "\nversion = ";
  const std::size_t Begin = Text.find(Key);
  if (Begin == std::string::npos)
    return std::nullopt;
  const char *First = Text.data() + Begin + Key.size();
  Config::Version Version = 0;
  const auto [Rest, Failure] =
      std::from_chars(First, Text.data() + Text.size(), Version);
  if (Failure != std::errc())
    return std::nullopt;
  return Version;
}

std::vector<LaggingNode> waitForNodes(SyncHttp &Transport,
                                      const std::vector<std::string> &Nodes,
                                      Config::Version Version,
                                      Common::Micros Timeout) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  std::vector<LaggingNode> Lagging;
  Lagging.reserve(Nodes.size());
  for (const std::string &Node : Nodes)
    Lagging.push_back({Node, std::nullopt});
  while (true) {
    std::erase_if(Lagging, [&](LaggingNode &Entry) {
      Entry.Version = fetchVersion(Transport, Entry.Node);
      return Entry.Version && *Entry.Version >= Version;
    });
    if (Lagging.empty() || std::chrono::steady_clock::now() >= Deadline)
      return Lagging;
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace Operator
