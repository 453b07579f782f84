#include "Admission/ServiceTimes.h"

#include <algorithm>
#include <vector>

namespace Admission {

namespace {

constexpr int LongFactor = 8;
constexpr int MinCount = 4;
// The share of a new time in the smoothed one is 1 / SmoothingCount.
constexpr int SmoothingCount = 10;
constexpr std::size_t MedianCount = 63;
constexpr std::size_t MaxKinds = 1024;
// Below this, multiples of the median say nothing about blocking.
constexpr Common::Micros MinTypical{1000};

} // namespace

void ServiceTimes::learn(const std::string &Kind, bool Long,
                         Common::Micros Took) {
  if (Kinds.size() >= MaxKinds && !Kinds.contains(Kind))
    forgetOldest();
  Record &Known = Kinds[Kind];
  Known.Count = std::min(Known.Count + 1, SmoothingCount);
  Known.Smoothed += (Took - Known.Smoothed) / Known.Count;
  Known.LastCall = ++CallsLearnt;
  if (Long)
    return;
  RecentShort.push_back(Took);
  if (RecentShort.size() > MedianCount)
    RecentShort.pop_front();
  std::vector<Common::Micros> Sorted(RecentShort.begin(), RecentShort.end());
  const auto Middle =
      Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  if (Sorted.size() >= MinCount)
    Typical = *Middle;
}

// Routes come and go, and their kinds with them: the one that was seen longest
// ago makes room.
void ServiceTimes::forgetOldest() {
  Kinds.erase(std::min_element(
      Kinds.begin(), Kinds.end(), [](const auto &Left, const auto &Right) {
        return Left.second.LastCall < Right.second.LastCall;
      }));
}

std::optional<Common::Micros>
ServiceTimes::usual(const std::string &Kind) const {
  const auto Found = Kinds.find(Kind);
  if (Found == Kinds.end() || Found->second.Count < MinCount)
    return std::nullopt;
  return Found->second.Smoothed;
}

bool ServiceTimes::runsLong(const std::string &Kind) const {
  const auto Limit = longAfter();
  const auto Usual = usual(Kind);
  return Limit && Usual && *Usual > *Limit;
}

std::optional<Common::Micros> ServiceTimes::longAfter() const {
  if (!Typical)
    return std::nullopt;
  return LongFactor * std::max(*Typical, MinTypical);
}

} // namespace Admission
