#include "Admission/Lane.h"

#include <algorithm>

namespace Admission {

void Lane::add(const QueuedCall &Call, Common::SteadyTime Now) {
  if (Size == 0)
    NonEmptySince = Now;
  std::deque<QueuedCall> &Calls = ByCaller[Call.Caller];
  if (Calls.empty())
    NextCallers.push_back(Call.Caller);
  Calls.push_back(Call);
  ++Size;
}

std::optional<QueuedCall> Lane::popNext(Common::SteadyTime Now) {
  if (NextCallers.empty())
    return std::nullopt;
  const std::string Caller = std::move(NextCallers.front());
  NextCallers.pop_front();
  const auto Found = ByCaller.find(Caller);
  std::deque<QueuedCall> &Calls = Found->second;
  const auto Chosen =
      isOverloaded(Now) ? std::prev(Calls.end()) : Calls.begin();
  QueuedCall Next = std::move(*Chosen);
  Calls.erase(Chosen);
  if (Calls.empty())
    ByCaller.erase(Found);
  else
    NextCallers.push_back(Caller);
  --Size;
  return Next;
}

std::optional<QueuedCall> Lane::popOldestOfBusiestCaller() {
  const auto Busiest =
      std::max_element(ByCaller.begin(), ByCaller.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.size() < Right.second.size();
                       });
  if (Busiest == ByCaller.end())
    return std::nullopt;
  QueuedCall Oldest = std::move(Busiest->second.front());
  Busiest->second.pop_front();
  if (Busiest->second.empty()) {
    std::erase(NextCallers, Busiest->first);
    ByCaller.erase(Busiest);
  }
  --Size;
  return Oldest;
}

std::vector<QueuedCall>
Lane::extractIf(const std::function<bool(const QueuedCall &)> &Predicate) {
  std::vector<QueuedCall> Extracted;
  for (auto &[Caller, Calls] : ByCaller)
    std::erase_if(Calls, [&](const QueuedCall &Call) {
      const bool Matches = Predicate(Call);
      if (Matches)
        Extracted.push_back(Call);
      return Matches;
    });
  if (Extracted.empty())
    return Extracted;
  std::erase_if(ByCaller,
                [](const auto &Entry) { return Entry.second.empty(); });
  std::erase_if(NextCallers, [this](const std::string &Caller) {
    return !ByCaller.contains(Caller);
  });
  Size -= Extracted.size();
  return Extracted;
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
