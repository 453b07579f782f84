#pragma once

#include <array>
#include <optional>

#include "Common/Time.h"

namespace Routing {

// Latency quantiles over the last answers of one request kind. It keeps the
// samples, since the quantiles of Boost.Accumulators cover all samples ever
// added.
class RecentLatency {
public:
  void add(Common::Micros Latency, Common::SteadyTime Now);

  // None until there are MinSamples answers.
  std::optional<Common::Micros> lowQuantile() const { return ifAvailable(Low); }
  std::optional<Common::Micros> median() const { return ifAvailable(Median); }
  std::optional<Common::Micros> highQuantile() const {
    return ifAvailable(High);
  }
  // Whether the last answer was added within the last Age.
  bool isFresh(Common::SteadyTime Now, Common::Duration Age) const;

private:
  static constexpr std::size_t Capacity = 256;
  static constexpr std::size_t MinSamples = 32;
  // Answers between two updates of the quantiles.
  static constexpr std::size_t UpdateInterval = 16;
  static constexpr double LowProbability = 0.10;
  static constexpr double HighProbability = 0.95;

  void updateQuantiles();
  std::optional<Common::Micros> ifAvailable(Common::Micros Value) const;

  std::array<Common::Micros, Capacity> Samples{};
  std::size_t SampleCount = 0;
  Common::SteadyTime LastSampleAt;
  Common::Micros Low{0};
  Common::Micros Median{0};
  Common::Micros High{0};
};

} // namespace Routing
