#include <cstdio>
#include <optional>

#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Operator/Publisher.h"
#include "Operator/SetLoader.h"

namespace {

struct Options {
  std::string LogUrl;
  std::string Stream = "config";
  std::string Author = "operator";
  std::string Note;
  std::string Base;
  std::vector<std::string> Nodes;
};

using Arguments = std::vector<std::string>;

// Prints every fault of the set; false when there is one.
bool reportFaults(Config::ObjectSetBuilder &Builder) {
  for (const Common::Fault &Each : Builder.faults())
    std::fprintf(stderr, "%s\n", Each.text().c_str());
  return Builder.faults().empty();
}

int checkSet(const Arguments &Paths) {
  Config::ObjectSetBuilder Builder;
  Operator::loadInto(Builder, Paths);
  if (!reportFaults(Builder))
    return 1;
  const Config::ObjectSetPtr Set = Builder.build();
  std::printf("sound: %zu services, %zu routes, %zu kinds, %zu retry rules\n",
              Set->services().size(), Set->routes().size(), Set->kinds().size(),
              Set->retryRules().size());
  return 0;
}

int publishSet(const Options &Given, const Arguments &Paths) {
  Config::ObjectSetBuilder Builder;
  Operator::loadInto(Builder, Paths);
  if (!reportFaults(Builder))
    return 1;
  std::optional<Config::Version> Base;
  if (!Given.Base.empty())
    Base = std::stoll(Given.Base);
  Operator::SyncHttp Transport;
  Operator::Publisher Publishing(Transport, Given.LogUrl, Given.Stream);
  const Config::Verdict Judged =
      Publishing.publish(*Builder.build(), Given.Author, Given.Note, Base);
  if (!Judged.isAccepted()) {
    std::fprintf(stderr, "refused: %d %s: %s\n",
                 Common::resultCodeNumber(Judged.Code),
                 std::string(Common::resultCodeName(Judged.Code)).c_str(),
                 Judged.Detail.c_str());
    return 1;
  }
  std::printf("accepted: version %lld\n", static_cast<long long>(Judged.At));
  return 0;
}

int showStatus(const Options &Given) {
  Operator::SyncHttp Transport;
  bool AllAnswered = true;
  for (const std::string &Node : Given.Nodes) {
    Http::ClientRequest Asked;
    Asked.Url = "http://" + Node + "/v1/status";
    const Http::ClientResult Result = Transport.send(std::move(Asked));
    std::printf("; %s\n%s", Node.c_str(),
                Result.Answered ? Result.Reply.Body.c_str()
                                : "; 604 NodeUnreachable\n");
    AllAnswered = AllAnswered && Result.Answered;
  }
  return AllAnswered ? 0 : 1;
}

int runControl(int Count, const char **Words) {
  Options Given;
  Arguments Rest =
      Common::CommandLine("zinniactl", "check PATH... | publish PATH... | "
                                       "status")
          .option("log", "URL", "Platform log, http://IP:port", Given.LogUrl)
          .option("stream", "NAME", "Stream of the log", Given.Stream)
          .option("author", "NAME", "Who publishes", Given.Author)
          .option("note", "TEXT", "Why", Given.Note)
          .option("base", "VERSION", "Version the set was made from",
                  Given.Base)
          .list("node", "IP:PORT", "Admin socket of a node", Given.Nodes)
          .parse(Count, Words);
  if (Rest.empty())
    throw Common::Error(Common::ResultCode::UsageError,
                        "no command; --help shows them");
  const std::string Command = Rest.front();
  Rest.erase(Rest.begin());
  if (Command == "check" && !Rest.empty())
    return checkSet(Rest);
  if (Command == "publish" && !Rest.empty() && !Given.LogUrl.empty())
    return publishSet(Given, Rest);
  if (Command == "status" && !Given.Nodes.empty())
    return showStatus(Given);
  throw Common::Error(Common::ResultCode::UsageError,
                      "command " + Command +
                          " is unknown or lacks arguments; --help shows them");
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinniactl", runControl, Count, Words);
}
