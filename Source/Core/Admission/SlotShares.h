#pragma once

#include <string>
#include <unordered_map>

#include "Common/Time.h"

namespace Admission {

// How much of the slots' time each kind got lately. What is older counts less:
// half of it after HalfLife.
class SlotShares {
public:
  // Some calls of the longest kinds we serve; a kind that got nothing for so
  // long is soon below its share.
  static constexpr Common::Millis HalfLife{2'000};

  // A call of the kind was given a slot that it is expected to hold for Time.
  void charge(const std::string &Kind, Common::Micros TargetLength,
              Common::Micros Time, Common::SteadyTime Now);
  // The slots that calls of the kind held on average.
  double slotsOf(const std::string &Kind, Common::SteadyTime Now) const;
  // The same of all kinds with a tighter target.
  double slotsOfTighter(Common::Micros TargetLength,
                        Common::SteadyTime Now) const;
  std::size_t size() const { return Kinds.size(); }

private:
  struct Record {
    Common::Micros TargetLength{0};
    double Slots = 0;
    Common::SteadyTime At;
  };

  static double slotsAt(const Record &Known, Common::SteadyTime Now);
  void forgetIdle(Common::SteadyTime Now);

  std::unordered_map<std::string, Record> Kinds;
};

} // namespace Admission
