#include "Report/BurnReport.h"

#include <algorithm>

namespace Report {

namespace {

// Rates that use 2% of a 30-day budget in one hour, or 5% in six hours.
constexpr double FastBurnRate = 14.4;
constexpr double SlowBurnRate = 6;

CallCounts sumCounts(const Objective &Goal, const std::string &Window,
                     const std::map<WindowKey, CallCounts> &Totals) {
  CallCounts Counts;
  for (const auto &[Key, WindowCounts] : Totals)
    if (Key.Service == Goal.Service && Key.Window == Window &&
        (Goal.Kind.empty() || Key.Kind == Goal.Kind))
      Counts.add(WindowCounts);
  return Counts;
}

std::uint64_t countSlowCalls(const Objective &Goal, const CallCounts &Counts) {
  return Goal.LatencyLimit ? Counts.slowerThan(*Goal.LatencyLimit) : 0;
}

WindowBurn computeWindowBurn(const Objective &Goal, const std::string &Window,
                             const CallCounts &Counts) {
  WindowBurn Burn;
  Burn.Window = Window;
  Burn.Calls = Counts.total();
  const std::uint64_t Good =
      Counts.ByOutcome[static_cast<std::size_t>(Outcome::Good)];
  Burn.Bad = Burn.Calls - Good + countSlowCalls(Goal, Counts);
  if (Burn.Calls > 0)
    Burn.Rate = static_cast<double>(Burn.Bad) /
                static_cast<double>(Burn.Calls) / (1 - Goal.TargetShare);
  return Burn;
}

double rateOf(const ObjectiveBurn &Burn, const std::string &Window) {
  for (const WindowBurn &Entry : Burn.Windows)
    if (Entry.Window == Window)
      return Entry.Rate;
  return 0;
}

BurnAlarm alarmOf(const ObjectiveBurn &Burn) {
  if (rateOf(Burn, "5m") >= FastBurnRate && rateOf(Burn, "1h") >= FastBurnRate)
    return BurnAlarm::Fast;
  if (rateOf(Burn, "30m") >= SlowBurnRate && rateOf(Burn, "6h") >= SlowBurnRate)
    return BurnAlarm::Slow;
  return BurnAlarm::None;
}

ObjectiveBurn
computeObjectiveBurn(const Objective &Goal,
                     const std::map<WindowKey, CallCounts> &Totals) {
  ObjectiveBurn Burn;
  Burn.Goal = Goal;
  for (const NamedWindow &Window : BurnWindows) {
    const CallCounts Counts = sumCounts(Goal, Window.Name, Totals);
    Burn.Windows.push_back(computeWindowBurn(Goal, Window.Name, Counts));
    Burn.SlowCalls = countSlowCalls(Goal, Counts);
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
            const std::map<WindowKey, CallCounts> &Totals) {
  std::vector<ObjectiveBurn> Result;
  Result.reserve(Objectives.size());
  for (const Objective &Goal : Objectives)
    Result.push_back(computeObjectiveBurn(Goal, Totals));
  return Result;
}

} // namespace Report
