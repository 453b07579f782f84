#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "Admission/QueuedCall.h"

namespace Admission {

// A queue of calls that compete for the same share of the slots. Callers are
// served round robin. A lane that has not been empty for a while is overloaded.
// It then serves the newest call of each caller first, because the oldest calls
// are the least likely to meet their deadlines.
class Lane {
public:
  static constexpr Common::Millis OverloadedAfter{100};

  void add(const QueuedCall &Call, Common::SteadyTime Now);
  std::optional<QueuedCall> popNext(Common::SteadyTime Now);
  // Removes the oldest call of the caller with the most waiting calls.
  std::optional<QueuedCall> popOldestOfBusiestCaller();
  // Removes and returns the calls for which the predicate holds.
  std::vector<QueuedCall>
  extractIf(const std::function<bool(const QueuedCall &)> &Predicate);

  std::size_t size() const { return Size; }
  bool isOverloaded(Common::SteadyTime Now) const;
  std::optional<Common::SteadyTime> oldestArrival() const;

private:
  std::map<std::string, std::deque<QueuedCall>> ByCaller;
  // The callers that have waiting calls, in round-robin order.
  std::deque<std::string> NextCallers;
  std::size_t Size = 0;
  Common::SteadyTime NonEmptySince;
};

} // namespace Admission
