#include "Common/BoundedLog.h"

#include <algorithm>
#include <utility>

namespace Common {

bool LogBuffer::take(Allowance &From, SteadyTime Now) {
  if (From.IsFresh) {
    From.Lines = Bounds.LinesAtOnce;
    From.IsFresh = false;
  } else {
    const std::chrono::duration<double> Since = Now - From.RefilledAt;
    From.Lines = std::min(From.Lines + Since.count() * Bounds.LinesPerSecond,
                          Bounds.LinesAtOnce);
  }
  From.RefilledAt = Now;
  if (From.Lines < 1)
    return false;
  From.Lines -= 1;
  return true;
}

bool LogBuffer::add(const std::string &Line, bool IsUrgent, SteadyTime Now) {
  if (Held.size() + Line.size() > Bounds.BufferBytes ||
      !take(IsUrgent ? Urgent : Ordinary, Now)) {
    ++Dropped;
    return false;
  }
  Held.append(Line);
  HoldsUrgent = HoldsUrgent || IsUrgent;
  return true;
}

bool LogBuffer::isDue(SteadyTime Now) const {
  return !Held.empty() && (HoldsUrgent || Now - WrittenAt >= Bounds.Gather);
}

void LogBuffer::written(std::size_t Bytes, SteadyTime Now) {
  Held.erase(0, Bytes);
  HoldsUrgent = HoldsUrgent && !Held.empty();
  WrittenAt = Now;
}

std::uint64_t LogBuffer::takeDropped() { return std::exchange(Dropped, 0); }

} // namespace Common
