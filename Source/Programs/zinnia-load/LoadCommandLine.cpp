#include "Programs/zinnia-load/LoadCommandLine.h"

#include <algorithm>

#include "Common/CommandLine.h"
#include "Common/Error.h"

namespace Load {

namespace {

Common::Micros parseDurationOption(const std::string &Text) {
  const auto Value = Common::parseDuration(Text);
  if (!Value)
    throw Common::Error(Common::ResultCode::UsageError,
                        Text + " is not a duration such as 250ms or 10s");
  return *Value;
}

} // namespace

LoadJob parseCommandLine(int ArgCount, const char **Args) {
  LoadJob Job;
  LoadOptions &Options = Job.Options;
  CallClass DefaultClass;
  std::vector<std::string> Mix;
  std::vector<std::string> Swings;
  std::string Rate = "100";
  std::string ClosedCallers = "0";
  std::string Length = "1s";
  std::string CallTimeout = "5s";
  std::string WarmUp = "0";
  std::string Seed = "1";
  std::string Tasks = "1";
  std::string WithKeys = "no";
  Common::CommandLine("zinnia-load", "")
      .list("target", "IP:PORT", "Node to call; may be repeated",
            Options.Targets)
      .list("direct", "IP:PORT",
            "Backend server to call directly first, for comparison",
            Job.DirectTargets)
      .option("method", "METHOD", "HTTP method of the calls", Options.Method)
      .option("path", "PATH", "Path of the calls", DefaultClass.Path)
      .option("query", "TEXT", "Text to add to the query of each call",
              DefaultClass.Query)
      .list("mix", "'PATH QUERY WEIGHT'",
            "Class of calls, instead of --path; may be repeated", Mix)
      .list("source", "IP", "Source address of the calls; may be repeated",
            Options.Sources)
      .option("rate", "N", "Number of calls per second", Rate)
      .list("swing", "N@START+LENGTH",
            "Multiply the rate by N during an interval; may be repeated",
            Swings)
      .option("seed", "N", "Random seed that selects the classes of calls",
              Seed)
      .option("tasks", "N", "Number of threads that share the load", Tasks)
      .option("closed", "N",
              "Number of callers that each send their next call when the last "
              "one is answered, instead of --rate",
              ClosedCallers)
      .option("length", "TIME", "How long to send calls", Length)
      .option("limit", "TIME", "Timeout of each call", CallTimeout)
      .option("id-prefix", "TEXT", "Prefix of the id of each call",
              Options.IdPrefix)
      .option("warm-up", "N", "Number of first calls left out of the latencies",
              WarmUp)
      .option("key", "yes|no", "Send an Idempotency-Key with each call",
              WithKeys)
      .option("csv", "FILE", "File to write the counts of each 100 ms to",
              Job.CsvFile)
      .list("ledger", "IP:PORT",
            "Backend server whose ledger to check for repeated calls",
            Job.Ledgers)
      .parse(ArgCount, Args);
  if (Options.Targets.empty())
    throw Common::Error(Common::ResultCode::UsageError,
                        "at least one --target IP:PORT is required");
  for (const std::string &Text : Mix)
    Options.Classes.push_back(parseCallClass(Text));
  if (Options.Classes.empty())
    Options.Classes.push_back(DefaultClass);
  for (const std::string &Text : Swings)
    Options.Swings.push_back(parseSwing(Text));
  Job.Tasks = std::max(1, std::stoi(Tasks));
  Options.Seed = std::stoull(Seed);
  Options.CallsPerSecond = std::stod(Rate);
  Options.ClosedCallers = std::stoi(ClosedCallers);
  Options.Length = parseDurationOption(Length);
  Options.CallTimeout = parseDurationOption(CallTimeout);
  Options.WithKeys = WithKeys == "yes";
  Options.WarmUpCalls = std::stoi(WarmUp);
  return Job;
}

} // namespace Load
