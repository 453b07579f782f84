#include "Admission/SlotShares.h"

#include <cmath>
#include <numbers>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Kinds are added and removed together with routes. Once there are this many,
// idle kinds are removed whenever a new kind is added.
constexpr std::size_t MaxKinds = 256;
// A kind that holds fewer slots than this is treated like an unknown one.
constexpr double IdleSlots = 0.0001;

} // namespace

void SlotShares::charge(const std::string &Kind, Common::Micros TargetLatency,
                        Common::Micros ServiceTime, Common::SteadyTime Now) {
  if (Kinds.size() >= MaxKinds && !Kinds.contains(Kind))
    removeIdleKinds(Now);
  KindUsage &Usage = Kinds[Kind];
  // The factor ln(2) / HalfLife makes the decayed sum of the charges equal to
  // the mean number of held slots in steady state.
  const double Charge =
      Seconds(ServiceTime) / Seconds(HalfLife) * std::numbers::ln2_v<double>;
  Usage = {TargetLatency, slotsAt(Usage, Now) + Charge, Now};
}

double SlotShares::slotsOf(const std::string &Kind,
                           Common::SteadyTime Now) const {
  const auto Found = Kinds.find(Kind);
  return Found == Kinds.end() ? 0 : slotsAt(Found->second, Now);
}

double SlotShares::slotsOfTighterKinds(Common::Micros TargetLatency,
                                       Common::SteadyTime Now) const {
  double Sum = 0;
  for (const auto &[Kind, Usage] : Kinds)
    if (Usage.TargetLatency < TargetLatency)
      Sum += slotsAt(Usage, Now);
  return Sum;
}

double SlotShares::slotsAt(const KindUsage &Usage, Common::SteadyTime Now) {
  return Usage.Slots *
         std::exp2(-(Seconds(Now - Usage.UpdatedAt) / Seconds(HalfLife)));
}

void SlotShares::removeIdleKinds(Common::SteadyTime Now) {
  std::erase_if(Kinds, [&](const auto &Entry) {
    return slotsAt(Entry.second, Now) < IdleSlots;
  });
}

} // namespace Admission
