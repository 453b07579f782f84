#pragma once

#include <map>
#include <string>
#include <vector>

#include "Report/CallMetrics.h"
#include "Report/MetricsPage.h"
#include "Report/Objective.h"

namespace Report {

// The rate at which the error budget of an objective was used in one window. A
// rate of 1 uses up the budget exactly by the end of the objective's period.
struct WindowBurn {
  std::string Window;
  std::uint64_t Calls = 0;
  std::uint64_t Bad = 0;
  double Rate = 0;
};

enum class BurnAlarm { None, Slow, Fast };

// The burn rates and failures of one objective.
struct ObjectiveBurn {
  Objective Goal;
  std::vector<WindowBurn> Windows;
  BurnAlarm Alarm = BurnAlarm::None;
  // The remaining share of the longest window's budget; negative if overspent.
  double BudgetLeft = 1;
  // Good calls of the longest window that were slower than LatencyLimit.
  std::uint64_t SlowCalls = 0;
  // Failed calls of the longest window, most frequent first.
  std::vector<std::pair<FailureKey, std::uint64_t>> Failures;
};

// The burn of all objectives, and which nodes answered.
struct BurnReport {
  std::vector<ObjectiveBurn> Objectives;
  std::vector<std::string> Answered;
  std::vector<std::string> Unreachable;
};

// Computes the burn of each objective from the totals over all nodes. An alarm
// requires a high burn rate in both a long and a short window: the long window
// shows that the loss is significant, the short one that it still goes on.
std::vector<ObjectiveBurn>
computeBurn(const std::vector<Objective> &Objectives,
            const std::map<WindowKey, CallCounts> &Totals);

// Formats the report as plain text.
std::string burnText(const BurnReport &Report);
// Formats the report as a self-contained HTML page.
std::string burnPage(const BurnReport &Report);

} // namespace Report
