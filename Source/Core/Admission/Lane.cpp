#include "Admission/Lane.h"

#include <algorithm>

namespace Admission {

void Lane::add(const Ticket &Call, Common::SteadyTime Now) {
  if (Size == 0)
    NonEmptySince = Now;
  std::deque<Ticket> &Own = ByCaller[Call.Caller];
  if (Own.empty())
    Turns.push_back(Call.Caller);
  Own.push_back(Call);
  ++Size;
}

std::optional<Ticket> Lane::takeNext(Common::SteadyTime Now) {
  if (Turns.empty())
    return std::nullopt;
  const std::string Caller = std::move(Turns.front());
  Turns.pop_front();
  const auto Own = ByCaller.find(Caller);
  std::deque<Ticket> &Calls = Own->second;
  const auto Chosen =
      isOverloaded(Now) ? std::prev(Calls.end()) : Calls.begin();
  Ticket Next = std::move(*Chosen);
  Calls.erase(Chosen);
  if (Calls.empty())
    ByCaller.erase(Own);
  else
    Turns.push_back(Caller);
  --Size;
  return Next;
}

std::optional<Ticket> Lane::takeOldestOfLongestCaller() {
  const auto Longest =
      std::max_element(ByCaller.begin(), ByCaller.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.size() < Right.second.size();
                       });
  if (Longest == ByCaller.end())
    return std::nullopt;
  Ticket Oldest = std::move(Longest->second.front());
  Longest->second.pop_front();
  if (Longest->second.empty()) {
    std::erase(Turns, Longest->first);
    ByCaller.erase(Longest);
  }
  --Size;
  return Oldest;
}

std::vector<Ticket>
Lane::takeIf(const std::function<bool(const Ticket &)> &Test) {
  std::vector<Ticket> Taken;
  for (auto &[Caller, Calls] : ByCaller)
    std::erase_if(Calls, [&](const Ticket &Each) {
      const bool Wanted = Test(Each);
      if (Wanted)
        Taken.push_back(Each);
      return Wanted;
    });
  if (Taken.empty())
    return Taken;
  std::erase_if(ByCaller, [](const auto &Each) { return Each.second.empty(); });
  std::erase_if(Turns, [this](const std::string &Caller) {
    return !ByCaller.contains(Caller);
  });
  Size -= Taken.size();
  return Taken;
}

bool Lane::isOverloaded(Common::SteadyTime Now) const {
  return Size > 0 && Now - NonEmptySince >= OverloadedAfter;
}

std::optional<Common::SteadyTime> Lane::oldestArrival() const {
  std::optional<Common::SteadyTime> Oldest;
  for (const auto &[Caller, Calls] : ByCaller)
    if (!Oldest || Calls.front().Arrived < *Oldest)
      Oldest = Calls.front().Arrived;
  return Oldest;
}

} // namespace Admission
