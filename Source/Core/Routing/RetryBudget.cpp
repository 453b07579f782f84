#include "Routing/RetryBudget.h"

#include <algorithm>

namespace Routing {

void RetryBudget::recordFirstAttempt(int BudgetPercent) {
  Balance = std::min(Balance + BudgetPercent, MaxBalance);
}

bool RetryBudget::tryConsume() {
  if (Balance < AttemptCost)
    return false;
  Balance -= AttemptCost;
  return true;
}

} // namespace Routing
