#include "Programs/zinnia-load/LoadCommandLine.h"

#include <algorithm>

#include "Common/CommandLine.h"
#include "Common/Error.h"

namespace Load {

namespace {

Common::Micros timeOption(const std::string &Text) {
  const auto Value = Common::parseDuration(Text);
  if (!Value)
    throw Common::Error(Common::ResultCode::UsageError,
                        Text + " is no time such as 250ms or 10s");
  return *Value;
}

} // namespace

LoadJob parseCommandLine(int Count, const char **Words) {
  LoadJob Job;
  LoadOptions &Options = Job.Options;
  CallClass Only;
  std::vector<std::string> Mix;
  std::vector<std::string> Swings;
  std::string Rate = "100";
  std::string Closed = "0";
  std::string Length = "1s";
  std::string Limit = "5s";
  std::string WarmUp = "0";
  std::string Seed = "1";
  std::string Tasks = "1";
  std::string WithKeys = "no";
  Common::CommandLine("zinnia-load", "")
      .list("target", "IP:PORT", "Node to call; may be repeated",
            Options.Targets)
      .list("direct", "IP:PORT",
            "Backend server to call directly before, for comparison",
            Job.Direct)
      .option("method", "METHOD", "Method of the calls", Options.Method)
      .option("path", "PATH", "Path of the calls", Only.Path)
      .option("query", "TEXT", "Added to the query", Only.Query)
      .list("mix", "'PATH QUERY WEIGHT'",
            "A class of calls, in place of --path; may be repeated", Mix)
      .list("source", "IP", "Address to call from; may be repeated",
            Options.Sources)
      .option("rate", "N", "Calls due a second", Rate)
      .list("swing", "N@START+LENGTH",
            "Multiplies the rate for a while; may be repeated", Swings)
      .option("seed", "N", "Seed of the order of classes", Seed)
      .option("tasks", "N", "Threads that share the load", Tasks)
      .option("closed", "N", "Callers that call without a pause instead",
              Closed)
      .option("length", "TIME", "How long calls are sent", Length)
      .option("limit", "TIME", "How long a caller waits", Limit)
      .option("id-prefix", "TEXT", "Begins each call's id", Options.IdPrefix)
      .option("warm-up", "N", "First calls whose latency is left out", WarmUp)
      .option("key", "yes|no", "Gives each call an Idempotency-Key", WithKeys)
      .option("csv", "FILE", "Where to write what each 100 ms brought",
              Job.CsvFile)
      .list("ledger", "IP:PORT", "Backend server whose ledger to read",
            Job.Ledgers)
      .parse(Count, Words);
  if (Options.Targets.empty())
    throw Common::Error(Common::ResultCode::UsageError,
                        "wanted is --target IP:PORT");
  for (const std::string &Each : Mix)
    Options.Classes.push_back(parseCallClass(Each));
  if (Options.Classes.empty())
    Options.Classes.push_back(Only);
  for (const std::string &Each : Swings)
    Options.Swings.push_back(parseSwing(Each));
  Job.Tasks = std::max(1, std::stoi(Tasks));
  Options.Seed = std::stoull(Seed);
  Options.CallsPerSecond = std::stod(Rate);
  Options.ClosedCallers = std::stoi(Closed);
  Options.Length = timeOption(Length);
  Options.CallLimit = timeOption(Limit);
  Options.WithKeys = WithKeys == "yes";
  Options.WarmUpCalls = std::stoi(WarmUp);
  return Job;
}

} // namespace Load
