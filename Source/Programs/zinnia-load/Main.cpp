#include <cstdio>
#include <future>
#include <map>
#include <sstream>

#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Programs/zinnia-load/LoadRun.h"

namespace {

Load::LoadReport runLoad(Kernel::Task &Worker,
                         const Load::LoadOptions &Options) {
  std::promise<Load::LoadReport> Ended;
  std::unique_ptr<Load::LoadRun> Run;
  Worker.runAndWait([&] {
    Run = std::make_unique<Load::LoadRun>(
        Worker, Options,
        [&](Load::LoadReport Report) { Ended.set_value(std::move(Report)); });
    Run->start();
  });
  Load::LoadReport Report = Ended.get_future().get();
  Worker.runAndWait([&] { Run.reset(); });
  return Report;
}

std::string fetch(Kernel::Task &Worker, const std::string &Url) {
  std::promise<Http::ClientResult> Answer;
  std::unique_ptr<Http::Client> Transport;
  Worker.runAndWait([&] {
    Transport = std::make_unique<Http::Client>(Worker);
    Http::ClientRequest Asked;
    Asked.Url = Url;
    Transport->send(std::move(Asked), [&](Http::ClientResult Result) {
      Answer.set_value(std::move(Result));
    });
  });
  const Http::ClientResult Result = Answer.get_future().get();
  Worker.runAndWait([&] { Transport.reset(); });
  return Result.Answered ? Result.Reply.Body : "";
}

// Counts the calls of this run that more than one server, or one server more
// than once, has run.
int countDoubled(Kernel::Task &Worker, const std::string &IdPrefix,
                 const std::vector<std::string> &Servers) {
  std::map<std::string, int> Runs;
  for (const std::string &Server : Servers) {
    std::istringstream Lines(
        fetch(Worker, "http://" + Server + "/standin/ledger"));
    std::string Id;
    int Count = 0;
    while (Lines >> Id >> Count)
      if (Id.rfind(IdPrefix, 0) == 0)
        Runs[Id] += Count;
  }
  int Doubled = 0;
  for (const auto &[Id, Count] : Runs)
    if (Count > 1)
      ++Doubled;
  return Doubled;
}

Common::Micros timeOption(const std::string &Text) {
  const auto Value = Common::parseDuration(Text);
  if (!Value)
    throw Common::Error(Common::ResultCode::UsageError,
                        Text + " is no time such as 250ms or 10s");
  return *Value;
}

int runMain(int Count, const char **Words) {
  Load::LoadOptions Options;
  std::vector<std::string> Direct;
  std::vector<std::string> Ledgers;
  std::string Rate = "100";
  std::string Closed = "0";
  std::string Length = "1s";
  std::string Limit = "5s";
  std::string WarmUp = "0";
  std::string WithKeys = "no";
  Common::CommandLine("zinnia-load", "")
      .list("target", "IP:PORT", "Node to call; may be repeated",
            Options.Targets)
      .list("direct", "IP:PORT",
            "Backend server to call directly before, for comparison", Direct)
      .option("method", "METHOD", "Method of the calls", Options.Method)
      .option("path", "PATH", "Path of the calls", Options.Path)
      .option("query", "TEXT", "Added to the query", Options.Query)
      .option("rate", "N", "Calls due a second", Rate)
      .option("closed", "N", "Callers that call without a pause instead",
              Closed)
      .option("length", "TIME", "How long calls are sent", Length)
      .option("limit", "TIME", "How long a caller waits", Limit)
      .option("id-prefix", "TEXT", "Begins each call's id", Options.IdPrefix)
      .option("warm-up", "N", "First calls whose latency is left out", WarmUp)
      .option("key", "yes|no", "Gives each call an Idempotency-Key", WithKeys)
      .list("ledger", "IP:PORT", "Backend server whose ledger to read", Ledgers)
      .parse(Count, Words);
  if (Options.Targets.empty())
    throw Common::Error(Common::ResultCode::UsageError,
                        "wanted is --target IP:PORT");
  Options.CallsPerSecond = std::stod(Rate);
  Options.ClosedCallers = std::stoi(Closed);
  Options.Length = timeOption(Length);
  Options.CallLimit = timeOption(Limit);
  Options.WithKeys = WithKeys == "yes";
  Options.WarmUpCalls = std::stoi(WarmUp);

  Kernel::Task Worker("load");
  Worker.spawn();
  if (!Direct.empty()) {
    Load::LoadOptions Straight = Options;
    Straight.Targets = Direct;
    Straight.IdPrefix = "direct-" + Options.IdPrefix;
    std::printf("[direct]\n%s",
                Load::reportText(runLoad(Worker, Straight)).c_str());
  }
  const Load::LoadReport Report = runLoad(Worker, Options);
  std::printf("[nodes]\n%s", Load::reportText(Report).c_str());
  if (!Ledgers.empty())
    std::printf("doubled %d\n",
                countDoubled(Worker, Options.IdPrefix, Ledgers));
  return Report.Wrong == 0 ? 0 : 1;
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinnia-load", runMain, Count, Words);
}
