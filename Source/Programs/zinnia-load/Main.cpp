#include <cstdio>
#include <fstream>
#include <future>

#include "Common/CommandLine.h"
#include "Programs/zinnia-load/LedgerCheck.h"
#include "Programs/zinnia-load/LoadCommandLine.h"

namespace {

// Runs one share of the load on a task of its own.
class LoadWorker {
public:
  explicit LoadWorker(const Load::LoadOptions &Options) {
    Worker.spawn();
    Worker.runAndWait([&] {
      Run = std::make_unique<Load::LoadRun>(
          Worker, Options, [&](Load::LoadReport Report) {
            ReportPromise.set_value(std::move(Report));
          });
      Run->start();
    });
  }
  ~LoadWorker() {
    Worker.runAndWait([&] { Run.reset(); });
  }
  LoadWorker(const LoadWorker &) = delete;
  LoadWorker &operator=(const LoadWorker &) = delete;

  Load::LoadReport report() { return ReportPromise.get_future().get(); }

private:
  Kernel::Task Worker{"load"};
  std::promise<Load::LoadReport> ReportPromise;
  std::unique_ptr<Load::LoadRun> Run;
};

Load::LoadReport runLoad(const Load::LoadOptions &Options, int Tasks) {
  std::vector<std::unique_ptr<LoadWorker>> Workers;
  for (int Index = 0; Index < Tasks; ++Index) {
    Load::LoadOptions WorkerOptions = Options;
    WorkerOptions.CallsPerSecond /= Tasks;
    WorkerOptions.ClosedCallers = (Options.ClosedCallers + Index) / Tasks;
    WorkerOptions.Seed += static_cast<std::uint64_t>(Index);
    if (Tasks > 1)
      WorkerOptions.IdPrefix += std::to_string(Index) + "-";
    Workers.push_back(std::make_unique<LoadWorker>(WorkerOptions));
  }
  Load::LoadReport Total;
  for (const auto &Worker : Workers)
    Total.add(Worker->report());
  return Total;
}

int runMain(int ArgCount, const char **Args) {
  const Load::LoadJob Job = Load::parseCommandLine(ArgCount, Args);
  if (!Job.DirectTargets.empty()) {
    Load::LoadOptions DirectOptions = Job.Options;
    DirectOptions.Targets = Job.DirectTargets;
    DirectOptions.IdPrefix = "direct-" + Job.Options.IdPrefix;
    std::printf("[direct]\n%s",
                Load::reportText(runLoad(DirectOptions, Job.Tasks)).c_str());
  }
  const Load::LoadReport Report = runLoad(Job.Options, Job.Tasks);
  std::printf("[nodes]\n%s", Load::reportText(Report).c_str());
  if (!Job.CsvFile.empty())
    std::ofstream(Job.CsvFile) << Load::windowsText(Report);
  if (!Job.Ledgers.empty()) {
    Kernel::Task Worker("ledgers");
    Worker.spawn();
    std::printf("doubled %d\n", Load::countRepeatedCalls(
                                    Worker, Job.Options.IdPrefix, Job.Ledgers));
  }
  return Report.Wrong == 0 ? 0 : 1;
}

} // namespace

int main(int ArgCount, const char **Args) {
  return Common::runProgram("zinnia-load", runMain, ArgCount, Args);
}
