#include "Admission/SlotShares.h"

#include <cmath>
#include <numbers>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Kinds come and go with the routes; from this number on the idle ones are
// dropped whenever another comes.
constexpr std::size_t MaxKinds = 256;
// A kind that held fewer slots than this is as good as new.
constexpr double IdleSlots = 0.0001;

} // namespace

void SlotShares::charge(const std::string &Kind, Common::Micros TargetLength,
                        Common::Micros Time, Common::SteadyTime Now) {
  if (Kinds.size() >= MaxKinds && !Kinds.contains(Kind))
    forgetIdle(Now);
  Record &Known = Kinds[Kind];
  // In steady state the decayed sum of the charges is the mean use.
  const double Charged =
      Seconds(Time) / Seconds(HalfLife) * std::numbers::ln2_v<double>;
  Known = {TargetLength, slotsAt(Known, Now) + Charged, Now};
}

double SlotShares::slotsOf(const std::string &Kind,
                           Common::SteadyTime Now) const {
  const auto Found = Kinds.find(Kind);
  return Found == Kinds.end() ? 0 : slotsAt(Found->second, Now);
}

double SlotShares::slotsOfTighter(Common::Micros TargetLength,
                                  Common::SteadyTime Now) const {
  double Sum = 0;
  for (const auto &[Kind, Known] : Kinds)
    if (Known.TargetLength < TargetLength)
      Sum += slotsAt(Known, Now);
  return Sum;
}

double SlotShares::slotsAt(const Record &Known, Common::SteadyTime Now) {
  return Known.Slots *
         std::exp2(-(Seconds(Now - Known.At) / Seconds(HalfLife)));
}

void SlotShares::forgetIdle(Common::SteadyTime Now) {
  std::erase_if(Kinds, [&](const auto &Each) {
    return slotsAt(Each.second, Now) < IdleSlots;
  });
}

} // namespace Admission
