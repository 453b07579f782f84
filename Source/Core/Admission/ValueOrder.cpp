#include "Admission/ValueOrder.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace Admission {

using Common::ResultCode;

namespace {

// A new sample has a weight of 1 / MeanWindow in the smoothed mean.
constexpr int MeanWindow = 12;
// A queue that is not empty for longer than this indicates that demand exceeds
// capacity. A shorter period may be just a momentary burst.
constexpr Common::Millis OverloadedAfter{600};
// A kind has a share deficit when its usage of the slots is below this fraction
// of the mean of the waiting kinds. The fraction is below 1, so that latency
// targets determine the order as long as no kind is far behind.
constexpr double MinShareFraction = 0.5;
// The least share of its expected time that a running call is assumed to need.
constexpr double MinRemainingShare = 0.2;

} // namespace

void ValueOrder::add(const QueuedCall &Call, const SlotUse &Use,
                     Common::SteadyTime Now, AdmissionActions &Actions) {
  const bool MayRunNow = Waiting.empty() && Use.hasFreeSlot();
  if (Waiting.empty())
    NonEmptySince = Now;
  KnowsCosts = KnowsCosts || Call.ExpectedCost.count() > 0;
  Waiting.push_back({Call});
  if (MayRunNow)
    return;
  const int KindsWaiting = updateShareDeficits(Now);
  const WaitEstimate Estimate = estimateWait(Use, KindsWaiting, Now);
  if (const auto Code = reasonToRefuse(Estimate, Now)) {
    Actions.push_back(RefuseCall{Call.Id, *Code, Estimate});
    Waiting.pop_back();
    return;
  }
  if (Waiting.size() <= MaxWaitingPerSlot * static_cast<std::size_t>(Use.Slots))
    return;
  const auto Last =
      std::max_element(Waiting.begin(), Waiting.end(),
                       [&](const WaitingCall &Left, const WaitingCall &Right) {
                         return precedes(Left, Right, Now);
                       });
  Actions.push_back(RefuseCall{Last->Call.Id, ResultCode::QueueFull});
  Waiting.erase(Last);
}

std::optional<ResultCode>
ValueOrder::reasonToRefuse(const WaitEstimate &Estimate,
                           Common::SteadyTime Now) const {
  const auto &[Call, HasShareDeficit] = Waiting.back();
  if (Call.WaitLimit && Estimate.Wait > *Call.WaitLimit)
    return ResultCode::WouldWait;
  const Common::SteadyTime ExpectedEnd =
      Now + Estimate.Wait + Estimate.ExpectedServiceTime;
  if (ExpectedEnd > Call.Deadline)
    return ResultCode::DeadlineTooClose;
  // A call of a kind with a share deficit is admitted even though it misses its
  // target. Otherwise a kind that always misses its target would never run.
  if (ExpectedEnd > Call.TargetTime && isOverloaded(Now) && !HasShareDeficit)
    return ResultCode::QueueFull;
  return std::nullopt;
}

std::optional<QueuedCall> ValueOrder::popNext(const SlotUse &Use,
                                              Common::SteadyTime Now) {
  if (Waiting.empty() || !Use.hasFreeSlot())
    return std::nullopt;
  if (Waiting.size() > 1)
    updateShareDeficits(Now);
  const auto First =
      std::min_element(Waiting.begin(), Waiting.end(),
                       [&](const WaitingCall &Left, const WaitingCall &Right) {
                         return precedes(Left, Right, Now);
                       });
  QueuedCall Next = std::move(First->Call);
  Waiting.erase(First);
  Shares.charge(Next.Kind, Next.TargetLatency,
                expectedServiceTimeOr(Next, MeanSlotTime), Now);
  return Next;
}

bool ValueOrder::withdraw(QueuedCallId Id) {
  return std::erase_if(Waiting, [Id](const WaitingCall &Entry) {
           return Entry.Call.Id == Id;
         }) > 0;
}

void ValueOrder::expire(Common::SteadyTime Now, AdmissionActions &Actions) {
  const bool Overloaded = isOverloaded(Now);
  if (Overloaded)
    updateShareDeficits(Now);
  std::erase_if(Waiting, [&](const WaitingCall &Entry) {
    const QueuedCall &Call = Entry.Call;
    // The expected service time does not count for a call that has just
    // arrived. Such a call may run, so that a wrong estimate is corrected.
    const bool Waited = Call.Arrived < Now;
    const Common::Micros Needed =
        Waited ? expectedServiceTime(Call) : Common::Micros(0);
    const bool MissesDeadline = Now + Needed >= Call.Deadline;
    // Calls that can meet their target run first as long as the overload lasts,
    // so that a late call would wait without ever being served.
    const bool IsLate = Waited && Overloaded && !Entry.HasShareDeficit &&
                        !meetsTarget(Call, Now);
    if (!MissesDeadline && !IsLate)
      return false;
    Actions.push_back(RefuseCall{Call.Id, MissesDeadline
                                              ? ResultCode::DeadlineTooClose
                                              : ResultCode::QueueFull});
    return true;
  });
}

void ValueOrder::refuseAll(ResultCode Code, AdmissionActions &Actions) {
  for (const WaitingCall &Entry : Waiting)
    Actions.push_back(RefuseCall{Entry.Call.Id, Code});
  Waiting.clear();
}

void ValueOrder::recordOutcome(const QueuedCall &Call,
                               Common::Micros ServiceTime,
                               CallOutcome Outcome) {
  if (Outcome == CallOutcome::Answered)
    Speed.onAnswered(Call.ExpectedCost, ServiceTime);
  if (Outcome == CallOutcome::NotRun ||
      (Outcome == CallOutcome::Aborted &&
       ServiceTime <= expectedServiceTime(Call)))
    return;
  Times.addSample(Call.Kind, Call.LongLane, ServiceTime, Call.ExpectedCost);
  MeanSlotTime = MeanSlotTime.count() == 0
                     ? ServiceTime
                     : MeanSlotTime + (ServiceTime - MeanSlotTime) / MeanWindow;
}

Common::Micros ValueOrder::expectedServiceTime(const QueuedCall &Call) const {
  return expectedServiceTimeOr(Call, Common::Micros(0));
}

Common::Micros ValueOrder::expectedServiceTimeOr(const QueuedCall &Call,
                                                 Common::Micros Default) const {
  if (const auto Expected = Times.expected(Call.Kind, Call.ExpectedCost))
    return *Expected;
  if (const auto OfKind = Times.expected(Call.Kind))
    return *OfKind;
  return Call.ExpectedCost.count() > 0
             ? std::chrono::duration_cast<Common::Micros>(Speed.usual() *
                                                          Call.ExpectedCost)
             : Default;
}

// Few calls take many times the expected time: the longer a call has outlived
// it, the more is expected to be left.
Common::Micros ValueOrder::remainingTime(const RunningCall &Call,
                                         Common::SteadyTime Now) const {
  const Common::Micros Expected =
      expectedServiceTimeOr(Call.Admitted, MeanSlotTime);
  const auto Elapsed =
      std::chrono::duration_cast<Common::Micros>(Now - Call.StartedAt);
  const auto ToDeadline =
      std::chrono::duration_cast<Common::Micros>(Call.Admitted.Deadline - Now);
  const auto Least =
      std::chrono::duration_cast<Common::Micros>(MinRemainingShare * Expected);
  return std::max(
      Common::Micros(0),
      std::min(ToDeadline,
               std::max(Least, std::chrono::abs(Expected - Elapsed))));
}

Common::Micros ValueOrder::backlog(const SlotUse &Use,
                                   Common::SteadyTime Now) const {
  if (!KnowsCosts)
    return Common::Micros(0);
  Common::Micros Sum{0};
  for (const auto &[Id, Call] : Use.Running)
    Sum += remainingTime(Call, Now);
  for (const WaitingCall &Entry : Waiting)
    Sum += expectedServiceTimeOr(Entry.Call, MeanSlotTime);
  return Sum / std::max(Use.Slots, 1);
}

bool ValueOrder::isOverloaded(Common::SteadyTime Now) const {
  return !Waiting.empty() && NonEmptySince &&
         Now - *NonEmptySince > OverloadedAfter;
}

bool ValueOrder::meetsTarget(const QueuedCall &Call,
                             Common::SteadyTime Now) const {
  return Now + expectedServiceTime(Call) <= Call.TargetTime;
}

int ValueOrder::updateShareDeficits(Common::SteadyTime Now) {
  std::map<std::string_view, double> SlotsOfKinds;
  double Sum = 0;
  for (const WaitingCall &Entry : Waiting) {
    const auto [Usage, IsNew] = SlotsOfKinds.try_emplace(Entry.Call.Kind, 0);
    if (!IsNew)
      continue;
    Usage->second = Shares.slotsOf(Entry.Call.Kind, Now);
    Sum += Usage->second;
  }
  const int Kinds = static_cast<int>(SlotsOfKinds.size());
  for (WaitingCall &Entry : Waiting)
    Entry.HasShareDeficit =
        SlotsOfKinds.at(Entry.Call.Kind) * Kinds < MinShareFraction * Sum;
  return Kinds;
}

bool ValueOrder::precedes(const WaitingCall &Left, const WaitingCall &Right,
                          Common::SteadyTime Now) const {
  if (Left.HasShareDeficit != Right.HasShareDeficit)
    return Left.HasShareDeficit;
  const bool LeftInTime = meetsTarget(Left.Call, Now);
  if (LeftInTime != meetsTarget(Right.Call, Now))
    return LeftInTime;
  if (!LeftInTime)
    return Left.Call.Deadline < Right.Call.Deadline;
  if (Left.Call.TargetLatency != Right.Call.TargetLatency)
    return Left.Call.TargetLatency < Right.Call.TargetLatency;
  if (Left.Call.Priority != Right.Call.Priority)
    return Left.Call.Priority < Right.Call.Priority;
  return Left.Call.TargetTime < Right.Call.TargetTime;
}

WaitEstimate ValueOrder::estimateWait(const SlotUse &Use, int KindsWaiting,
                                      Common::SteadyTime Now) const {
  const WaitingCall &Arriving = Waiting.back();
  WaitEstimate Result;
  Result.ExpectedServiceTime = expectedServiceTime(Arriving.Call);
  Common::Micros WorkAhead{0};
  for (const WaitingCall &Entry : Waiting)
    if (precedes(Entry, Arriving, Now)) {
      WorkAhead += expectedServiceTimeOr(Entry.Call, MeanSlotTime);
      ++Result.Ahead;
    }
  if (!Use.hasFreeSlot())
    WorkAhead += MeanSlotTime;
  // Calls with tighter targets keep arriving and run first, but they leave this
  // kind its share of the slots.
  const double SlotsOfTighterKinds =
      Arriving.HasShareDeficit
          ? 0
          : Shares.slotsOfTighterKinds(Arriving.Call.TargetLatency, Now);
  Result.Slots = std::max(Use.Slots - SlotsOfTighterKinds,
                          MinShareFraction * Use.Slots / KindsWaiting);
  if (Result.Slots > 0)
    Result.Wait = Common::Micros(static_cast<std::int64_t>(
        static_cast<double>(WorkAhead.count()) / Result.Slots));
  return Result;
}

} // namespace Admission
