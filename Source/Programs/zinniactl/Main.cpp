#include "Commands.h"
#include "Common/CommandLine.h"
#include "Common/Error.h"

namespace {

using Control::Arguments;
using Control::Options;

constexpr const char *CommandHelp =
    "check PATH... | diff PATH... | publish PATH... | rollback VERSION | "
    "explain VERSION | watch | status";

[[noreturn]] void refuse(const std::string &Detail) {
  throw Common::Error(Common::ResultCode::UsageError,
                      Detail + "; --help shows what is allowed");
}

int runLogCommand(const std::string &Command, const Options &Given,
                  const Arguments &Rest) {
  if (Given.Log.Url.empty())
    refuse("command " + Command + " needs --log");
  if (Given.Wait && Given.Nodes.empty())
    refuse("--wait needs the nodes, each with --node");
  if (Command == "publish" && !Rest.empty())
    return Control::publishSet(Given, Rest);
  if (Command == "diff" && !Rest.empty())
    return Control::showDifference(Given, Rest);
  if (Command == "rollback" && Rest.size() == 1)
    return Control::rollBack(Given, Rest[0]);
  if (Command == "explain" && Rest.size() == 1)
    return Control::explainRecord(Given, Rest[0]);
  if (Command == "watch" && Rest.empty())
    return Control::watchRecords(Given);
  refuse("command " + Command + " is unknown or has wrong arguments");
}

int runControl(int Count, const char **Words) {
  Options Given;
  Given.Log.Stream = "config";
  Given.Log.CheckpointStream = "checkpoints";
  Given.Author = "operator";
  std::string Limit;
  Arguments Rest =
      Common::CommandLine("zinniactl", CommandHelp)
          .option("log", "URL", "Platform log, http://IP:port", Given.Log.Url)
          .option("stream", "NAME", "Stream of the log", Given.Log.Stream)
          .option("checkpoint-stream", "NAME", "Stream of checkpoints",
                  Given.Log.CheckpointStream)
          .option("author", "NAME", "Who publishes", Given.Author)
          .option("note", "TEXT", "Why", Given.Note)
          .option("base", "VERSION", "Version the set was made from",
                  Given.Base)
          .list("node", "IP:PORT", "Admin socket of a node", Given.Nodes)
          .flag("wait", "Wait until the nodes have the version in force",
                Given.Wait)
          .option("limit", "TIME",
                  "How long to wait (7s by default) or to watch (1h)", Limit)
          .parse(Count, Words);
  if (Rest.empty())
    refuse("no command");
  const std::string Command = Rest.front();
  Rest.erase(Rest.begin());
  if (Limit.empty())
    Limit = Command == "watch" ? "1h" : "7s";
  const auto Parsed = Common::parseDuration(Limit);
  if (!Parsed)
    refuse("--limit wants a time such as 500ms or 7s");
  Given.Limit = *Parsed;
  if (Command == "check" && !Rest.empty())
    return Control::checkSet(Rest);
  if (Command == "status" && Rest.empty() && !Given.Nodes.empty())
    return Control::showStatus(Given);
  return runLogCommand(Command, Given, Rest);
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinniactl", runControl, Count, Words);
}
