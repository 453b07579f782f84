#pragma once

#include <random>

#include "Common/Time.h"

namespace Membership {

// Spaces out attempts to connect to one place. The delay doubles with each
// failure and is jittered, so that a herd of nodes does not return in step.
class Backoff {
public:
  static constexpr Common::Micros First{50'000};
  static constexpr Common::Micros Longest{2'000'000};

  explicit Backoff(std::uint64_t Seed) : Random(Seed) {}

  bool mayTry(Common::SteadyTime Now) const { return Now >= NextAt; }
  void failed(Common::SteadyTime Now);
  void succeeded() { Delay = First; }

private:
  std::mt19937_64 Random;
  Common::Micros Delay = First;
  Common::SteadyTime NextAt;
};

} // namespace Membership
