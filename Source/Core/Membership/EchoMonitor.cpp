#include "Membership/EchoMonitor.h"

namespace Membership {

EchoMonitor::EchoMonitor(EchoLimits Limits, Common::SteadyTime Now)
    : Limits(Limits), LastTick(Now) {}

EchoMonitor::Step EchoMonitor::tick(bool Busy, Common::SteadyTime Now) {
  // A process that did not run has not read the answer that may lie there.
  if (Now - LastTick > Limits.AnswerLimit / 2)
    AwaitedSince = Now;
  LastTick = Now;
  if (Awaited)
    return {std::nullopt, Now - AwaitedSince >= Limits.AnswerLimit};
  const auto Interval = Busy ? Limits.BusyInterval : Limits.IdleInterval;
  if (LastEcho && Now - *LastEcho < Interval)
    return {};
  LastEcho = Now;
  AwaitedSince = Now;
  Awaited = true;
  return {++Sequence, false};
}

void EchoMonitor::answered(std::int64_t Answered) {
  if (Answered == Sequence)
    Awaited = false;
}

} // namespace Membership
