#include "Report/BurnReport.h"

#include <algorithm>

namespace Report {

namespace {

// Rates at which the budget of 30 days loses 2% in an hour or 5% in six hours.
constexpr double FastBurnRate = 14.4;
constexpr double SlowBurnRate = 6;

CallCounts countsOf(const Objective &Wanted, const std::string &Window,
                    const std::map<WindowKey, CallCounts> &Sum) {
  CallCounts Counts;
  for (const auto &[Key, Each] : Sum)
    if (Key.Service == Wanted.Service && Key.Window == Window &&
        (Wanted.Kind.empty() || Key.Kind == Wanted.Kind))
      Counts.add(Each);
  return Counts;
}

std::uint64_t slowCalls(const Objective &Wanted, const CallCounts &Counts) {
  return Wanted.LatencyLimit ? Counts.slowerThan(*Wanted.LatencyLimit) : 0;
}

WindowBurn burnOf(const Objective &Wanted, const std::string &Window,
                  const CallCounts &Counts) {
  WindowBurn Burn;
  Burn.Window = Window;
  Burn.Calls = Counts.total();
  const std::uint64_t Good =
      Counts.ByOutcome[static_cast<std::size_t>(Outcome::Good)];
  Burn.Bad = Burn.Calls - Good + slowCalls(Wanted, Counts);
  if (Burn.Calls > 0)
    Burn.Rate = static_cast<double>(Burn.Bad) /
                static_cast<double>(Burn.Calls) / (1 - Wanted.TargetShare);
  return Burn;
}

double rateOf(const ObjectiveBurn &Burn, const std::string &Window) {
  for (const WindowBurn &Each : Burn.Windows)
    if (Each.Window == Window)
      return Each.Rate;
  return 0;
}

BurnAlarm alarmOf(const ObjectiveBurn &Burn) {
  if (rateOf(Burn, "5m") >= FastBurnRate && rateOf(Burn, "1h") >= FastBurnRate)
    return BurnAlarm::Fast;
  if (rateOf(Burn, "30m") >= SlowBurnRate && rateOf(Burn, "6h") >= SlowBurnRate)
    return BurnAlarm::Slow;
  return BurnAlarm::None;
}

ObjectiveBurn computeOne(const Objective &Wanted,
                         const std::map<WindowKey, CallCounts> &Sum) {
  ObjectiveBurn Burn;
  Burn.Wanted = Wanted;
  for (const NamedWindow &Window : BurnWindows) {
    const CallCounts Counts = countsOf(Wanted, Window.Name, Sum);
    Burn.Windows.push_back(burnOf(Wanted, Window.Name, Counts));
    Burn.Slow = slowCalls(Wanted, Counts);
    Burn.Failures.assign(Counts.Failures.begin(), Counts.Failures.end());
  }
  std::stable_sort(Burn.Failures.begin(), Burn.Failures.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.second > Right.second;
                   });
  Burn.BudgetLeft = 1 - Burn.Windows.back().Rate;
  Burn.Alarm = alarmOf(Burn);
  return Burn;
}

} // namespace

std::vector<ObjectiveBurn>
computeBurn(const std::vector<Objective> &Objectives,
            const std::map<WindowKey, CallCounts> &Sum) {
  std::vector<ObjectiveBurn> Result;
  Result.reserve(Objectives.size());
  for (const Objective &Each : Objectives)
    Result.push_back(computeOne(Each, Sum));
  return Result;
}

} // namespace Report
