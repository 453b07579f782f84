#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/Time.h"

namespace Admission {

// Measures the service times of the kinds, that is how long their calls hold a
// slot. A kind is classified as long by its measured time, not only by the lane
// that the configuration assigns to it.
class ServiceTimes {
public:
  void addSample(const std::string &Kind, bool IsLongLane,
                 Common::Micros ServiceTime,
                 Common::Micros StatedCost = Common::Micros(0));

  // The smoothed service time of the kind. Empty until enough of its calls have
  // finished.
  std::optional<Common::Micros> expected(const std::string &Kind) const;
  // The same for a call of the kind that stated its cost: as much longer as it
  // costs more than the mean of the kind. Empty if either is unknown.
  std::optional<Common::Micros> expected(const std::string &Kind,
                                         Common::Micros StatedCost) const;
  // Whether the service time of the kind is many times the median of the short
  // lane.
  bool runsLong(const std::string &Kind) const;
  // The service time above which a call of the short lane counts as long.
  std::optional<Common::Micros> longThreshold() const;
  // The median service time of recent calls of the short lane.
  std::optional<Common::Micros> medianShort() const { return MedianShort; }

private:
  struct KindTimes {
    Common::Micros Smoothed{0};
    int Samples = 0;
    // The smoothed cost that the calls stated.
    Common::Micros StatedCost{0};
    // The sequence number of the latest sample of this kind.
    std::uint64_t LastSample = 0;
  };

  void removeLeastRecentKind();

  std::unordered_map<std::string, KindTimes> Kinds;
  std::uint64_t TotalSamples = 0;
  std::deque<Common::Micros> RecentShort;
  std::optional<Common::Micros> MedianShort;
};

} // namespace Admission
