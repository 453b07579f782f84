#pragma once

#include <cstdint>
#include <optional>

#include "Common/Time.h"

namespace Membership {

struct EchoLimits {
  // Time between echoes while answers are awaited, and else.
  Common::Micros BusyInterval{0};
  Common::Micros IdleInterval{0};
  // Silence after which the connection counts as lost.
  Common::Micros AnswerLimit{0};
};

// Decides whether one connection still carries messages both ways. Only the
// answer to an echo shows that: other frames may come while nothing gets out.
class EchoMonitor {
public:
  EchoMonitor(EchoLimits Limits, Common::SteadyTime Now);

  struct Step {
    std::optional<std::int64_t> SendEcho;
    bool IsSilent = false;
  };
  // Called at short intervals; Busy when answers are awaited.
  Step tick(bool Busy, Common::SteadyTime Now);
  void answered(std::int64_t Sequence);

private:
  EchoLimits Limits;
  Common::SteadyTime LastTick;
  std::optional<Common::SteadyTime> LastEcho;
  std::int64_t Sequence = 0;
  bool Awaited = false;
  Common::SteadyTime AwaitedSince;
};

} // namespace Membership
