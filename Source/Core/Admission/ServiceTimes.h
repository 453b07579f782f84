#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/Time.h"

namespace Admission {

// Learns how long calls hold a slot, by kind. It believes what it sees rather
// than the lane that the configuration gives a kind.
class ServiceTimes {
public:
  void learn(const std::string &Kind, bool Long, Common::Micros Took);

  // The smoothed time of a kind, once enough of its calls have ended.
  std::optional<Common::Micros> usual(const std::string &Kind) const;
  // Whether a kind of the short lane runs many times as long as others there.
  bool runsLong(const std::string &Kind) const;
  // The time after which a call of the short lane counts as a long one.
  std::optional<Common::Micros> longAfter() const;
  // The median of late calls of the short lane.
  std::optional<Common::Micros> typicalShort() const { return Typical; }

private:
  struct Record {
    Common::Micros Smoothed{0};
    int Count = 0;
    // Of the calls learnt from, the one that was the last of this kind.
    std::uint64_t LastCall = 0;
  };

  void forgetOldest();

  std::unordered_map<std::string, Record> Kinds;
  std::uint64_t CallsLearnt = 0;
  std::deque<Common::Micros> RecentShort;
  std::optional<Common::Micros> Typical;
};

} // namespace Admission
