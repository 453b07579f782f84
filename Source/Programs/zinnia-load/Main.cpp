#include <cstdio>
#include <fstream>
#include <future>

#include "Common/CommandLine.h"
#include "Programs/zinnia-load/LedgerCheck.h"
#include "Programs/zinnia-load/LoadCommandLine.h"

namespace {

// One of the tasks that share a load.
class Sharer {
public:
  explicit Sharer(const Load::LoadOptions &Options) {
    Worker.spawn();
    Worker.runAndWait([&] {
      Run = std::make_unique<Load::LoadRun>(
          Worker, Options,
          [&](Load::LoadReport Report) { Ended.set_value(std::move(Report)); });
      Run->start();
    });
  }
  ~Sharer() {
    Worker.runAndWait([&] { Run.reset(); });
  }
  Sharer(const Sharer &) = delete;
  Sharer &operator=(const Sharer &) = delete;

  Load::LoadReport report() { return Ended.get_future().get(); }

private:
  Kernel::Task Worker{"load"};
  std::promise<Load::LoadReport> Ended;
  std::unique_ptr<Load::LoadRun> Run;
};

Load::LoadReport runLoad(const Load::LoadOptions &Options, int Tasks) {
  std::vector<std::unique_ptr<Sharer>> Sharers;
  for (int Each = 0; Each < Tasks; ++Each) {
    Load::LoadOptions Share = Options;
    Share.CallsPerSecond /= Tasks;
    Share.ClosedCallers = (Options.ClosedCallers + Each) / Tasks;
    Share.Seed += static_cast<std::uint64_t>(Each);
    if (Tasks > 1)
      Share.IdPrefix += std::to_string(Each) + "-";
    Sharers.push_back(std::make_unique<Sharer>(Share));
  }
  Load::LoadReport Whole;
  for (const auto &Each : Sharers)
    Whole.add(Each->report());
  return Whole;
}

int runMain(int Count, const char **Words) {
  const Load::LoadJob Job = Load::parseCommandLine(Count, Words);
  if (!Job.Direct.empty()) {
    Load::LoadOptions Straight = Job.Options;
    Straight.Targets = Job.Direct;
    Straight.IdPrefix = "direct-" + Job.Options.IdPrefix;
    std::printf("[direct]\n%s",
                Load::reportText(runLoad(Straight, Job.Tasks)).c_str());
  }
  const Load::LoadReport Report = runLoad(Job.Options, Job.Tasks);
  std::printf("[nodes]\n%s", Load::reportText(Report).c_str());
  if (!Job.CsvFile.empty())
    std::ofstream(Job.CsvFile) << Load::windowsText(Report);
  if (!Job.Ledgers.empty()) {
    Kernel::Task Worker("ledgers");
    Worker.spawn();
    std::printf("doubled %d\n",
                Load::countDoubled(Worker, Job.Options.IdPrefix, Job.Ledgers));
  }
  return Report.Wrong == 0 ? 0 : 1;
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinnia-load", runMain, Count, Words);
}
