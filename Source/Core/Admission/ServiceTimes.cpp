#include "Admission/ServiceTimes.h"

#include <algorithm>
#include <vector>

namespace Admission {

namespace {

// A service time of more than this many medians of the short lane is long.
constexpr int LongFactor = 8;
// The number of samples that an estimate needs.
constexpr int MinSamples = 4;
// A new sample has a weight of 1 / SmoothingWindow in the smoothed time.
constexpr int SmoothingWindow = 10;
// The number of recent samples that the median is computed from.
constexpr std::size_t MedianWindow = 63;
constexpr std::size_t MaxKinds = 1024;
// With a shorter median, a call of several medians is too short to block others
// noticeably.
constexpr Common::Micros MinMedian{1000};

} // namespace

void ServiceTimes::addSample(const std::string &Kind, bool IsLongLane,
                             Common::Micros ServiceTime,
                             Common::Micros StatedCost) {
  if (Kinds.size() >= MaxKinds && !Kinds.contains(Kind))
    removeLeastRecentKind();
  KindTimes &Times = Kinds[Kind];
  Times.Samples = std::min(Times.Samples + 1, SmoothingWindow);
  Times.Smoothed += (ServiceTime - Times.Smoothed) / Times.Samples;
  if (StatedCost.count() > 0)
    Times.StatedCost =
        Times.StatedCost.count() == 0
            ? StatedCost
            : Times.StatedCost +
                  (StatedCost - Times.StatedCost) / SmoothingWindow;
  Times.LastSample = ++TotalSamples;
  if (IsLongLane)
    return;
  RecentShort.push_back(ServiceTime);
  if (RecentShort.size() > MedianWindow)
    RecentShort.pop_front();
  std::vector<Common::Micros> Sorted(RecentShort.begin(), RecentShort.end());
  const auto Middle =
      Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  if (Sorted.size() >= MinSamples)
    MedianShort = *Middle;
}

// Kinds are added and removed together with routes. The kind without a sample
// for the longest time is removed to make room for a new one.
void ServiceTimes::removeLeastRecentKind() {
  Kinds.erase(std::min_element(
      Kinds.begin(), Kinds.end(), [](const auto &Left, const auto &Right) {
        return Left.second.LastSample < Right.second.LastSample;
      }));
}

std::optional<Common::Micros>
ServiceTimes::expected(const std::string &Kind) const {
  const auto Found = Kinds.find(Kind);
  if (Found == Kinds.end() || Found->second.Samples < MinSamples)
    return std::nullopt;
  return Found->second.Smoothed;
}

std::optional<Common::Micros>
ServiceTimes::expected(const std::string &Kind,
                       Common::Micros StatedCost) const {
  const auto OfKind = expected(Kind);
  if (!OfKind || StatedCost.count() <= 0)
    return std::nullopt;
  const Common::Micros MeanCost = Kinds.at(Kind).StatedCost;
  if (MeanCost.count() <= 0)
    return std::nullopt;
  const double Relative = static_cast<double>(StatedCost.count()) /
                          static_cast<double>(MeanCost.count());
  return std::chrono::duration_cast<Common::Micros>(Relative * *OfKind);
}

bool ServiceTimes::runsLong(const std::string &Kind) const {
  const auto Threshold = longThreshold();
  const auto Expected = expected(Kind);
  return Threshold && Expected && *Expected > *Threshold;
}

std::optional<Common::Micros> ServiceTimes::longThreshold() const {
  if (!MedianShort)
    return std::nullopt;
  return LongFactor * std::max(*MedianShort, MinMedian);
}

} // namespace Admission
