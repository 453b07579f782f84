#include "Commands.h"
#include "Common/CommandLine.h"
#include "Common/Error.h"

namespace {

using Control::Arguments;
using Control::CommandOptions;

constexpr const char *CommandHelp =
    "check PATH... | diff PATH... | publish PATH... | rollback VERSION | "
    "explain VERSION | watch | status";

[[noreturn]] void throwUsageError(const std::string &Detail) {
  throw Common::Error(Common::ResultCode::UsageError,
                      Detail + "; run with --help for usage");
}

int runLogCommand(const std::string &Command, const CommandOptions &Options,
                  const Arguments &Operands) {
  if (Options.Log.Url.empty())
    throwUsageError("command " + Command + " requires --log");
  if (Options.Wait && Options.Nodes.empty())
    throwUsageError("--wait requires at least one --node");
  if (Command == "publish" && !Operands.empty())
    return Control::publishSet(Options, Operands);
  if (Command == "diff" && !Operands.empty())
    return Control::showDifference(Options, Operands);
  if (Command == "rollback" && Operands.size() == 1)
    return Control::rollBack(Options, Operands[0]);
  if (Command == "explain" && Operands.size() == 1)
    return Control::explainRecord(Options, Operands[0]);
  if (Command == "watch" && Operands.empty())
    return Control::watchRecords(Options);
  throwUsageError("command " + Command +
                  " is unknown or has invalid arguments");
}

int runControl(int ArgCount, const char **Args) {
  CommandOptions Options;
  Options.Log.Stream = "config";
  Options.Log.CheckpointStream = "checkpoints";
  Options.Author = "operator";
  std::string Limit;
  Arguments Operands =
      Common::CommandLine("zinniactl", CommandHelp)
          .option("log", "URL", "Address of the platform log, http://IP:port",
                  Options.Log.Url)
          .option("stream", "NAME", "Stream that holds the configuration",
                  Options.Log.Stream)
          .option("checkpoint-stream", "NAME",
                  "Stream that holds the checkpoints",
                  Options.Log.CheckpointStream)
          .option("author", "NAME", "Author of the published record",
                  Options.Author)
          .option("note", "TEXT", "Why the set is published", Options.Note)
          .option("base", "VERSION", "Version that the set is based on",
                  Options.Base)
          .list("node", "IP:PORT", "Admin socket of a node; may be repeated",
                Options.Nodes)
          .flag("wait", "Wait until all nodes have the version in force",
                Options.Wait)
          .option("limit", "TIME",
                  "How long to wait (default 7s) or to watch (default 1h)",
                  Limit)
          .parse(ArgCount, Args);
  if (Operands.empty())
    throwUsageError("no command is given");
  const std::string Command = Operands.front();
  Operands.erase(Operands.begin());
  if (Limit.empty())
    Limit = Command == "watch" ? "1h" : "7s";
  const auto Parsed = Common::parseDuration(Limit);
  if (!Parsed)
    throwUsageError("--limit requires a duration such as 500ms or 7s");
  Options.Limit = *Parsed;
  if (Command == "check" && !Operands.empty())
    return Control::checkSet(Operands);
  if (Command == "status" && Operands.empty() && !Options.Nodes.empty())
    return Control::showStatus(Options);
  return runLogCommand(Command, Options, Operands);
}

} // namespace

int main(int ArgCount, const char **Args) {
  return Common::runProgram("zinniactl", runControl, ArgCount, Args);
}
