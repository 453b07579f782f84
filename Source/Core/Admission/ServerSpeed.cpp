#include "Admission/ServerSpeed.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

// A new sample has a weight of 1 / SampleWindow in the learnt factor.
constexpr double SampleWindow = 32;
// Weight of usual speed beside each sample. Callers learn costs from the speeds
// and servers speeds from the costs: without this anchor both could drift
// together.
constexpr double AnchorWeight = 0.05;
// A single call of unexpected work, of which there are few, says little about
// the speed.
constexpr double MinSample = 0.2;
constexpr double MaxSample = 3;
constexpr int UsualPercent = 100;
constexpr int MaxStatedPercent = 1'000;
constexpr Seconds StatedHalfLife{0.3};

} // namespace

void ServerSpeed::onAnswered(Common::Micros ExpectedCost,
                             Common::Micros ServiceTime) {
  if (ExpectedCost.count() <= 0 || ServiceTime.count() <= 0)
    return;
  const double Stated = static_cast<double>(StatedPercent) / UsualPercent;
  const double Sample =
      std::clamp(Seconds(ServiceTime) / Seconds(ExpectedCost) / Stated,
                 MinSample, MaxSample);
  Learnt += ((Sample - Learnt) + AnchorWeight * (1 - Learnt)) / SampleWindow;
}

void ServerSpeed::onStated(int Percent, Common::SteadyTime Now) {
  if (Percent <= 0)
    return;
  StatedPercent = std::min(Percent, MaxStatedPercent);
  StatedAt = Now;
}

double ServerSpeed::current(Common::SteadyTime Now) const {
  if (!StatedAt)
    return Learnt;
  const double Freshness =
      std::exp2(-Seconds(Now - *StatedAt) / StatedHalfLife);
  const double Stated = static_cast<double>(StatedPercent) / UsualPercent;
  return Learnt * (1 + (Stated - 1) * Freshness);
}

} // namespace Admission
