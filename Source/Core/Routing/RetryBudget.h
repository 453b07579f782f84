#pragma once

namespace Routing {

// Limits the extra attempts of one request kind, retries and hedges alike, to a
// share of its first attempts.
class RetryBudget {
public:
  void noteFirstAttempt(int BudgetPercent);
  // Takes one extra attempt from the budget, if there is one.
  bool tryTake();

private:
  // In hundredths of an attempt.
  static constexpr int AttemptCost = 100;
  // Lets a node that has just started retry, though it has had no traffic.
  static constexpr int InitialBalance = 3 * AttemptCost;
  // Enough to move the calls in flight off a server that dies.
  static constexpr int MaxBalance = 30 * AttemptCost;

  int Balance = InitialBalance;
};

} // namespace Routing
