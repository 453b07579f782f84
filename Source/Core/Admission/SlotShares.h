#pragma once

#include <string>
#include <unordered_map>

#include "Common/Time.h"

namespace Admission {

// Measures how much slot time each kind received recently, as an exponentially
// decayed sum.
class SlotShares {
public:
  // Several service times of the longest kinds. A kind that receives no slots
  // for this long soon falls below its share.
  static constexpr Common::Millis HalfLife{2'000};

  // Records that a call received a slot and is expected to hold it for
  // ServiceTime.
  void charge(const std::string &Kind, Common::Micros TargetLatency,
              Common::Micros ServiceTime, Common::SteadyTime Now);
  // The mean number of slots that calls of the kind held.
  double slotsOf(const std::string &Kind, Common::SteadyTime Now) const;
  // The sum of these means over all kinds with a tighter latency target.
  double slotsOfTighterKinds(Common::Micros TargetLatency,
                             Common::SteadyTime Now) const;
  std::size_t size() const { return Kinds.size(); }

private:
  struct KindUsage {
    Common::Micros TargetLatency{0};
    double Slots = 0;
    Common::SteadyTime UpdatedAt;
  };

  static double slotsAt(const KindUsage &Usage, Common::SteadyTime Now);
  void removeIdleKinds(Common::SteadyTime Now);

  std::unordered_map<std::string, KindUsage> Kinds;
};

} // namespace Admission
