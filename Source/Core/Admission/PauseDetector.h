#pragma once

#include <algorithm>
#include <optional>

#include "Common/Time.h"

namespace Admission {

// Detects pauses of the whole process, such as a frozen VM. A request that
// arrived during a pause has already waited for up to the length of the pause
// when it is read.
class PauseDetector {
public:
  static constexpr Common::Millis Interval{50};
  // Ticks that are late by less than this are ordinary scheduling delays.
  static constexpr Common::Millis Tolerance{100};

  // A request that is read within this time after a pause may have arrived
  // during the pause.
  static constexpr Common::Millis ReadDelay{20};

  // To be called every Interval.
  void tick(Common::SteadyTime Now) {
    LastPause = pauseSinceTick(Now);
    LastTick = Now;
  }

  // The length of the pause during which a request that is read now may have
  // waited, or 0.
  Common::Micros pause(Common::SteadyTime Now) const {
    const bool TickedRecently = LastTick && Now - *LastTick <= ReadDelay;
    return std::max(TickedRecently ? LastPause : Common::Micros(0),
                    pauseSinceTick(Now));
  }

private:
  Common::Micros pauseSinceTick(Common::SteadyTime Now) const {
    if (!LastTick || Now - *LastTick <= Interval + Tolerance)
      return Common::Micros(0);
    return std::chrono::duration_cast<Common::Micros>(Now - *LastTick);
  }

  std::optional<Common::SteadyTime> LastTick;
  Common::Micros LastPause{0};
};

} // namespace Admission
