#pragma once

#include <map>
#include <string>
#include <vector>

#include "Report/CallMetrics.h"
#include "Report/MetricsPage.h"
#include "Report/Objective.h"

namespace Report {

// How fast an objective's error budget was used in one window. 1 uses it up
// exactly by the end of the objective's period.
struct WindowBurn {
  std::string Window;
  std::uint64_t Calls = 0;
  std::uint64_t Bad = 0;
  double Rate = 0;
};

enum class BurnAlarm { None, Slow, Fast };

struct ObjectiveBurn {
  Objective Wanted;
  std::vector<WindowBurn> Windows;
  BurnAlarm Alarm = BurnAlarm::None;
  // Of the budget of the longest window; below 0 it is overdrawn.
  double BudgetLeft = 1;
  std::uint64_t Slow = 0;
  // Failed calls of the longest window, most first.
  std::vector<std::pair<FailureKey, std::uint64_t>> Failures;
};

struct BurnReport {
  std::vector<ObjectiveBurn> Objectives;
  std::vector<std::string> Answered;
  std::vector<std::string> Silent;
};

// Compares the sum over the nodes with the objectives. An alarm needs a short
// and a long window to burn: the long one shows that it matters, the short one
// that it still goes on.
std::vector<ObjectiveBurn>
computeBurn(const std::vector<Objective> &Objectives,
            const std::map<WindowKey, CallCounts> &Sum);

std::string burnText(const BurnReport &Report);
// One page that needs no other file.
std::string burnPage(const BurnReport &Report);

} // namespace Report
