#include "Routing/RetryBudget.h"

#include <algorithm>

namespace Routing {

void RetryBudget::noteFirstAttempt(int BudgetPercent) {
  Balance = std::min(Balance + BudgetPercent, MaxBalance);
}

bool RetryBudget::tryTake() {
  if (Balance < AttemptCost)
    return false;
  Balance -= AttemptCost;
  return true;
}

} // namespace Routing
