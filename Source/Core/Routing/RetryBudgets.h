#pragma once

#include <concepts>
#include <deque>
#include <string>
#include <unordered_map>

#include "Common/Time.h"
#include "Routing/RetryBudget.h"

namespace Routing {

// What a call takes its extra attempts from.
struct BudgetUse {
  const std::string &Service;
  const std::string &Kind;
  // Extra attempts allowed for each first attempt, in hundredths.
  int Percent = 0;
};

// Bounds the extra attempts of calls.
template <class B>
concept RetryBudgets = requires(B &Budgets, const BudgetUse &Use,
                                Common::SteadyTime Now) {
  Budgets.noteFirstAttempt(Use, Now);
  { Budgets.tryTake(Use, Now) } -> std::same_as<bool>;
};

// A bucket of its own for each request kind.
class KindBudgets {
public:
  void noteFirstAttempt(const BudgetUse &Use, Common::SteadyTime Now);
  bool tryTake(const BudgetUse &Use, Common::SteadyTime Now);

private:
  std::unordered_map<std::string, RetryBudget> Buckets;
};

// The mesh as a whole may make so many extra attempts at a service.
struct MeshRetryLimit {
  // For each first attempt at the service.
  double Ratio = 0;
  Common::Duration Window{0};
  // Allowed besides, in each window, by all nodes together.
  double Slack = 0;
  // The nodes that share the slack, at least.
  std::size_t Nodes = 1;
};

// This node's share of a limit that holds for all nodes together. Each node
// counts what it sent itself, so nothing has to be agreed: the shares of the
// ratio add up by themselves, and those of the slack by the number of nodes.
// Load pattern: a server of one service turns grey or loses answers, and all
// nodes try again at the same moment.
class ServiceBudgets {
public:
  explicit ServiceBudgets(const MeshRetryLimit &Limit)
      : Limit(Limit), Nodes(Limit.Nodes) {}

  // How many nodes are known to share the limit. One that has just started
  // knows few, so never fewer than the limit itself says.
  void useNodes(std::size_t Count);
  void noteFirstAttempt(const BudgetUse &Use, Common::SteadyTime Now);
  bool tryTake(const BudgetUse &Use, Common::SteadyTime Now);

private:
  struct Record {
    std::deque<Common::SteadyTime> First;
    std::deque<Common::SteadyTime> Extra;
  };

  void forget(std::deque<Common::SteadyTime> &Times,
              Common::SteadyTime Now) const;

  MeshRetryLimit Limit;
  std::size_t Nodes;
  std::unordered_map<std::string, Record> Services;
};

} // namespace Routing
