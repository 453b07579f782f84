#pragma once

#include <concepts>
#include <deque>
#include <string>
#include <unordered_map>

#include "Common/Time.h"
#include "Routing/RetryBudget.h"

namespace Routing {

// Identifies the budget for the extra attempts of a call.
struct BudgetUse {
  const std::string &Service;
  const std::string &Kind;
  // Extra attempts allowed per 100 first attempts.
  int Percent = 0;
};

// Limits the extra attempts of calls: retries and hedges.
template <class B>
concept RetryBudgets = requires(B &Budgets, const BudgetUse &Use,
                                Common::SteadyTime Now) {
  Budgets.recordFirstAttempt(Use, Now);
  { Budgets.tryConsume(Use, Now) } -> std::same_as<bool>;
};

// Keeps a separate budget for each request kind.
class KindBudgets {
public:
  void recordFirstAttempt(const BudgetUse &Use, Common::SteadyTime Now);
  bool tryConsume(const BudgetUse &Use, Common::SteadyTime Now);

private:
  std::unordered_map<std::string, RetryBudget> Buckets;
};

// Limits the extra attempts that the whole mesh may make at a service.
struct MeshRetryLimit {
  // Extra attempts allowed per first attempt at the service in the window.
  double Ratio = 0;
  Common::Duration Window{0};
  // Extra attempts that all nodes together may make per window in addition.
  double Slack = 0;
  // Lower bound of the number of nodes among which the slack is divided.
  std::size_t MinNodes = 1;
};

// This node's share of a limit that applies to all nodes together. Each node
// counts only its own attempts, so that nodes need no coordination: the shares
// of the ratio add up to the limit, and the slack is divided by the number of
// nodes.
//
// Load pattern: a server of one service fails part of its calls or loses
// answers, and all nodes retry at the same moment.
class ServiceBudgets {
public:
  explicit ServiceBudgets(const MeshRetryLimit &Limit)
      : Limit(Limit), NodeCount(Limit.MinNodes) {}

  // Sets how many nodes share the limit, but at least Limit.MinNodes, as a node
  // that has just started knows few others.
  void setNodeCount(std::size_t Count);
  void recordFirstAttempt(const BudgetUse &Use, Common::SteadyTime Now);
  bool tryConsume(const BudgetUse &Use, Common::SteadyTime Now);

private:
  struct AttemptTimes {
    std::deque<Common::SteadyTime> FirstAttempts;
    std::deque<Common::SteadyTime> ExtraAttempts;
  };

  void removeExpired(std::deque<Common::SteadyTime> &Times,
                     Common::SteadyTime Now) const;

  MeshRetryLimit Limit;
  std::size_t NodeCount;
  std::unordered_map<std::string, AttemptTimes> Services;
};

} // namespace Routing
