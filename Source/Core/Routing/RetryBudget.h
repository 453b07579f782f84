#pragma once

namespace Routing {

// A token bucket that limits the extra attempts of one request kind, which are
// retries and hedges, to a share of its first attempts.
class RetryBudget {
public:
  void recordFirstAttempt(int BudgetPercent);
  // Takes the cost of one extra attempt from the budget; false if too little is
  // left.
  bool tryConsume();

private:
  // In hundredths of an attempt.
  static constexpr int AttemptCost = 100;
  // Allows retries on a node that has just started and had no traffic yet.
  static constexpr int InitialBalance = 3 * AttemptCost;
  // Enough to retry the calls in flight at a server that crashes.
  static constexpr int MaxBalance = 30 * AttemptCost;

  int Balance = InitialBalance;
};

} // namespace Routing
