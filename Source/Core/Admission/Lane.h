#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "Admission/Ticket.h"

namespace Admission {

// Calls that wait for the same share of slots. Callers take turns. A lane that
// has not been empty for a while is overloaded; it then serves each caller's
// newest call first, since the oldest are the least likely to be in time.
class Lane {
public:
  static constexpr Common::Millis OverloadedAfter{100};

  void add(const Ticket &Call, Common::SteadyTime Now);
  std::optional<Ticket> takeNext(Common::SteadyTime Now);
  // The oldest call of the caller that has most calls waiting.
  std::optional<Ticket> takeOldestOfLongestCaller();
  std::vector<Ticket> takeIf(const std::function<bool(const Ticket &)> &Test);

  std::size_t size() const { return Size; }
  bool isOverloaded(Common::SteadyTime Now) const;
  std::optional<Common::SteadyTime> oldestArrival() const;

private:
  std::map<std::string, std::deque<Ticket>> ByCaller;
  // The callers with waiting calls; the first one is next.
  std::deque<std::string> Turns;
  std::size_t Size = 0;
  Common::SteadyTime NonEmptySince;
};

} // namespace Admission
