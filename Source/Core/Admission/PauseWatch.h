#pragma once

#include <algorithm>
#include <optional>

#include "Common/Time.h"

namespace Admission {

// Finds pauses of the whole process, such as a frozen VM. Requests that came in
// during a pause have waited unseen, by at most its length.
class PauseWatch {
public:
  static constexpr Common::Millis Interval{50};
  // Later ticks than this are ordinary delays of the scheduler.
  static constexpr Common::Millis Tolerance{100};

  // For so long after a pause, what is read may have come during it.
  static constexpr Common::Millis ReadDelay{20};

  // To be called every Interval.
  void tick(Common::SteadyTime Now) {
    LastPause = pauseSinceTick(Now);
    LastTick = Now;
  }

  // The pause that a request read at this time may have waited through.
  Common::Micros pause(Common::SteadyTime Now) const {
    const bool JustWoken = LastTick && Now - *LastTick <= ReadDelay;
    return std::max(JustWoken ? LastPause : Common::Micros(0),
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
