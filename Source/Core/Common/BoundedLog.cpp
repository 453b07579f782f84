#include "Common/BoundedLog.h"

#include <algorithm>
#include <utility>

namespace Common {

bool LogBuffer::takeToken(TokenBucket &Bucket, SteadyTime Now) {
  if (Bucket.IsUnused) {
    Bucket.Tokens = Bounds.BurstLines;
    Bucket.IsUnused = false;
  } else {
    const std::chrono::duration<double> Elapsed = Now - Bucket.RefilledAt;
    Bucket.Tokens =
        std::min(Bucket.Tokens + Elapsed.count() * Bounds.LinesPerSecond,
                 Bounds.BurstLines);
  }
  Bucket.RefilledAt = Now;
  if (Bucket.Tokens < 1)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

bool LogBuffer::add(const std::string &Line, bool IsUrgent, SteadyTime Now) {
  if (Pending.size() + Line.size() > Bounds.BufferBytes ||
      !takeToken(IsUrgent ? Urgent : Ordinary, Now)) {
    ++Dropped;
    return false;
  }
  Pending.append(Line);
  HasUrgent = HasUrgent || IsUrgent;
  return true;
}

bool LogBuffer::isDue(SteadyTime Now) const {
  return !Pending.empty() &&
         (HasUrgent || Now - LastWriteAt >= Bounds.FlushInterval);
}

void LogBuffer::markWritten(std::size_t Bytes, SteadyTime Now) {
  Pending.erase(0, Bytes);
  HasUrgent = HasUrgent && !Pending.empty();
  LastWriteAt = Now;
}

std::uint64_t LogBuffer::takeDropped() { return std::exchange(Dropped, 0); }

} // namespace Common
