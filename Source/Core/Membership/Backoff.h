#pragma once

#include <random>

#include "Common/Time.h"

namespace Membership {

// Delays attempts to connect to one address. The delay doubles with each
// failure and is jittered, so that many nodes do not reconnect in step.
class Backoff {
public:
  static constexpr Common::Micros InitialDelay{50'000};
  static constexpr Common::Micros MaxDelay{2'000'000};

  explicit Backoff(std::uint64_t Seed) : Random(Seed) {}

  bool mayTry(Common::SteadyTime Now) const { return Now >= NextAt; }
  void failed(Common::SteadyTime Now);
  void succeeded() { Delay = InitialDelay; }

private:
  std::mt19937_64 Random;
  Common::Micros Delay = InitialDelay;
  Common::SteadyTime NextAt;
};

} // namespace Membership
