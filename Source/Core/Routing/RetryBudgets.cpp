#include "Routing/RetryBudgets.h"

#include <algorithm>

namespace Routing {

namespace {

// Share of the limit that is used. The rest is for the calls that a retried
// request makes again downstream, which no node can distinguish from first
// attempts.
constexpr double UsedShare = 0.5;

} // namespace

static_assert(RetryBudgets<KindBudgets>);
static_assert(RetryBudgets<ServiceBudgets>);

void KindBudgets::recordFirstAttempt(const BudgetUse &Use, Common::SteadyTime) {
  Buckets[Use.Kind].recordFirstAttempt(Use.Percent);
}

bool KindBudgets::tryConsume(const BudgetUse &Use, Common::SteadyTime) {
  return Buckets[Use.Kind].tryConsume();
}

void ServiceBudgets::setNodeCount(std::size_t Count) {
  NodeCount = std::max(Count, Limit.MinNodes);
}

void ServiceBudgets::removeExpired(std::deque<Common::SteadyTime> &Times,
                                   Common::SteadyTime Now) const {
  while (!Times.empty() && Now - Times.front() > Limit.Window)
    Times.pop_front();
}

void ServiceBudgets::recordFirstAttempt(const BudgetUse &Use,
                                        Common::SteadyTime Now) {
  AttemptTimes &Attempts = Services[Use.Service];
  removeExpired(Attempts.FirstAttempts, Now);
  Attempts.FirstAttempts.push_back(Now);
}

bool ServiceBudgets::tryConsume(const BudgetUse &Use, Common::SteadyTime Now) {
  AttemptTimes &Attempts = Services[Use.Service];
  removeExpired(Attempts.FirstAttempts, Now);
  removeExpired(Attempts.ExtraAttempts, Now);
  const double Allowed =
      UsedShare *
      (Limit.Ratio * static_cast<double>(Attempts.FirstAttempts.size()) +
       Limit.Slack / static_cast<double>(NodeCount));
  if (static_cast<double>(Attempts.ExtraAttempts.size()) + 1 > Allowed)
    return false;
  Attempts.ExtraAttempts.push_back(Now);
  return true;
}

} // namespace Routing
