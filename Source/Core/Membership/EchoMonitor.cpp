#include "Membership/EchoMonitor.h"

namespace Membership {

EchoMonitor::EchoMonitor(EchoLimits Limits, Common::SteadyTime Now)
    : Limits(Limits), LastTick(Now) {}

EchoMonitor::Step EchoMonitor::tick(bool Busy, Common::SteadyTime Now) {
  // After a pause of the process, the answer may be waiting in the socket
  // unread, so the timeout starts again.
  if (Now - LastTick > Limits.AnswerTimeout / 2)
    PendingSince = Now;
  LastTick = Now;
  if (AnswerPending)
    return {std::nullopt, Now - PendingSince >= Limits.AnswerTimeout};
  const auto Interval = Busy ? Limits.BusyInterval : Limits.IdleInterval;
  if (LastEcho && Now - *LastEcho < Interval)
    return {};
  LastEcho = Now;
  PendingSince = Now;
  AnswerPending = true;
  return {++Sequence, false};
}

void EchoMonitor::onAnswer(std::int64_t AnsweredSequence) {
  if (AnsweredSequence == Sequence)
    AnswerPending = false;
}

} // namespace Membership
