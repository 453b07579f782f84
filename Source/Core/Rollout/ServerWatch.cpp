#include "Rollout/ServerWatch.h"

#include <bit>

namespace Rollout {

void ServerWatch::follow(const WatchOrder &NewOrder) {
  // Another server may run beside this node now.
  if (NewOrder.Position != Followed.Position ||
      NewOrder.IsTarget != Followed.IsTarget) {
    Counts.clear();
    LastCalls = 0;
    FuseBlown = false;
  }
  Followed = NewOrder;
}

void ServerWatch::callEnded(const std::string &Kind, Outcome End,
                            Common::Micros ServiceTime,
                            Common::SteadyTime Now) {
  if (!isWatching())
    return;
  KindEvidence &Calls = Counts[Kind];
  if (End == Outcome::Answered) {
    ++Calls.Answered;
    if (Now >= WarmAt)
      ++Calls.ByTime.at(timeBucket(ServiceTime));
  } else {
    ++(End == Outcome::Failed ? Calls.Failed : Calls.Unanswered);
  }
  constexpr std::uint32_t Mask = (1U << FuseCalls) - 1;
  LastCalls = (LastCalls << 1U | (End == Outcome::Failed ? 1U : 0U)) & Mask;
  FuseBlown =
      FuseBlown || (Followed.IsTarget && std::popcount(LastCalls) >= FuseLimit);
}

} // namespace Rollout
