#pragma once

#include <cstdint>
#include <optional>

#include "Common/Time.h"

namespace Membership {

struct EchoLimits {
  // Time between echoes while the connection has pending calls, and while it is
  // idle.
  Common::Micros BusyInterval{0};
  Common::Micros IdleInterval{0};
  // Time without an answer to an echo after which the connection counts as
  // lost.
  Common::Micros AnswerTimeout{0};
};

// Detects whether one connection still carries messages in both directions.
// Only the answer to an echo proves that: other frames may still arrive while
// nothing gets out.
class EchoMonitor {
public:
  EchoMonitor(EchoLimits Limits, Common::SteadyTime Now);

  struct Step {
    // Sequence number of the echo to send now, if any.
    std::optional<std::int64_t> SendEcho;
    bool TimedOut = false;
  };
  // Has to be called at short intervals. Busy is true while calls are pending.
  Step tick(bool Busy, Common::SteadyTime Now);
  void onAnswer(std::int64_t AnsweredSequence);
  // Since when an echo has been unanswered, if one is.
  std::optional<Common::SteadyTime> unansweredSince() const {
    return AnswerPending ? std::optional(PendingSince) : std::nullopt;
  }

private:
  EchoLimits Limits;
  Common::SteadyTime LastTick;
  std::optional<Common::SteadyTime> LastEcho;
  std::int64_t Sequence = 0;
  bool AnswerPending = false;
  Common::SteadyTime PendingSince;
};

} // namespace Membership
