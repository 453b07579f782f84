#include "Routing/RetryBudgets.h"

#include <algorithm>

namespace Routing {

namespace {

// Part of the limit that is used. The rest covers calls that running requests
// make again after their parent was tried again, which no node can tell from
// first ones.
constexpr double UsedShare = 0.5;

} // namespace

static_assert(RetryBudgets<KindBudgets>);
static_assert(RetryBudgets<ServiceBudgets>);

void KindBudgets::noteFirstAttempt(const BudgetUse &Use, Common::SteadyTime) {
  Buckets[Use.Kind].noteFirstAttempt(Use.Percent);
}

bool KindBudgets::tryTake(const BudgetUse &Use, Common::SteadyTime) {
  return Buckets[Use.Kind].tryTake();
}

void ServiceBudgets::useNodes(std::size_t Count) {
  Nodes = std::max(Count, Limit.Nodes);
}

void ServiceBudgets::forget(std::deque<Common::SteadyTime> &Times,
                            Common::SteadyTime Now) const {
  while (!Times.empty() && Now - Times.front() > Limit.Window)
    Times.pop_front();
}

void ServiceBudgets::noteFirstAttempt(const BudgetUse &Use,
                                      Common::SteadyTime Now) {
  Record &Known = Services[Use.Service];
  forget(Known.First, Now);
  Known.First.push_back(Now);
}

bool ServiceBudgets::tryTake(const BudgetUse &Use, Common::SteadyTime Now) {
  Record &Known = Services[Use.Service];
  forget(Known.First, Now);
  forget(Known.Extra, Now);
  const double Allowed =
      UsedShare * (Limit.Ratio * static_cast<double>(Known.First.size()) +
                   Limit.Slack / static_cast<double>(Nodes));
  if (static_cast<double>(Known.Extra.size()) + 1 > Allowed)
    return false;
  Known.Extra.push_back(Now);
  return true;
}

} // namespace Routing
