#pragma once

#include <array>
#include <optional>

#include "Common/Time.h"

namespace Routing {

// Quantiles over the last answers of one request kind. The quantiles of
// Boost.Accumulators never forget, so the answers themselves are kept.
class RecentLatency {
public:
  void add(Common::Micros Latency, Common::SteadyTime Now);

  // None until enough answers have come.
  std::optional<Common::Micros> low() const { return known(Low); }
  std::optional<Common::Micros> median() const { return known(Median); }
  std::optional<Common::Micros> high() const { return known(High); }
  // Whether the last answer came within Age.
  bool isFresh(Common::SteadyTime Now, Common::Duration Age) const;

private:
  static constexpr std::size_t Capacity = 256;
  static constexpr std::size_t LeastSamples = 32;
  // Answers between two computations of the quantiles.
  static constexpr std::size_t RenewInterval = 16;
  static constexpr double LowShare = 0.10;
  static constexpr double HighShare = 0.95;

  void renew();
  std::optional<Common::Micros> known(Common::Micros Value) const;

  std::array<Common::Micros, Capacity> Samples{};
  std::size_t Added = 0;
  Common::SteadyTime LastAdded;
  Common::Micros Low{0};
  Common::Micros Median{0};
  Common::Micros High{0};
};

} // namespace Routing
