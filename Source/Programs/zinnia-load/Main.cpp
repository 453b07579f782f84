#include <cstdio>
#include <fstream>
#include <future>

#include "Common/CommandLine.h"
#include "Programs/zinnia-load/LedgerCheck.h"
#include "Programs/zinnia-load/LoadCommandLine.h"

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

int runMain(int Count, const char **Words) {
  const Load::LoadJob Job = Load::parseCommandLine(Count, Words);
  Kernel::Task Worker("load");
  Worker.spawn();
  if (!Job.Direct.empty()) {
    Load::LoadOptions Straight = Job.Options;
    Straight.Targets = Job.Direct;
    Straight.IdPrefix = "direct-" + Job.Options.IdPrefix;
    std::printf("[direct]\n%s",
                Load::reportText(runLoad(Worker, Straight)).c_str());
  }
  const Load::LoadReport Report = runLoad(Worker, Job.Options);
  std::printf("[nodes]\n%s", Load::reportText(Report).c_str());
  if (!Job.CsvFile.empty())
    std::ofstream(Job.CsvFile) << Load::windowsText(Report);
  if (!Job.Ledgers.empty())
    std::printf("doubled %d\n",
                Load::countDoubled(Worker, Job.Options.IdPrefix, Job.Ledgers));
  return Report.Wrong == 0 ? 0 : 1;
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinnia-load", runMain, Count, Words);
}
