#include "Admission/LaneOrder.h"

#include <algorithm>
#include <cmath>

namespace Admission {

using Common::ResultCode;

namespace {

// At least one of this many slots is reserved for short calls.
constexpr int SlotsPerReservedSlot = 3;
// The reserve covers this many standard deviations of a Poisson-distributed
// load of short calls.
constexpr double ReserveDeviations = 2;
constexpr std::chrono::duration<double> ShortLoadTimeConstant{1.0};

} // namespace

void LaneOrder::add(const QueuedCall &Call, const SlotUse &Use,
                    Common::SteadyTime Now, AdmissionActions &Actions) {
  updateShortLoad(Use, Now);
  const bool IsLong = isLong(Call);
  Lane &OwnLane = IsLong ? Long : Short;
  const bool MayRunNow = OwnLane.size() == 0 && Use.hasFreeSlot() &&
                         (!IsLong || mayRunLong(Use, Now));
  // A call that need not wait always runs, so that wrong estimates are
  // corrected.
  if (!MayRunNow &&
      Now + expectedWait(Call, Use, Now) + expectedServiceTime(Call) >=
          Call.Deadline) {
    Actions.push_back(RefuseCall{Call.Id, ResultCode::DeadlineTooClose});
    return;
  }
  OwnLane.add(Call, Now);
  if (OwnLane.size() <= MaxWaitingPerSlot * static_cast<std::size_t>(Use.Slots))
    return;
  if (const auto Evicted = OwnLane.popOldestOfBusiestCaller())
    Actions.push_back(RefuseCall{Evicted->Id, ResultCode::QueueFull});
}

std::optional<QueuedCall> LaneOrder::popNext(const SlotUse &Use,
                                             Common::SteadyTime Now) {
  updateShortLoad(Use, Now);
  if (!Use.hasFreeSlot())
    return std::nullopt;
  if (prefersLong(Use, Now))
    return Long.popNext(Now);
  if (auto Next = popShort(Use, Now))
    return Next;
  return mayRunLong(Use, Now) ? Long.popNext(Now) : std::nullopt;
}

std::optional<QueuedCall> LaneOrder::popShort(const SlotUse &Use,
                                              Common::SteadyTime Now) {
  while (auto Next = Short.popNext(Now)) {
    const bool MovesToLongLane =
        isLong(*Next) ||
        (hasOverdueCallOfSameKind(*Next, Use, Now) && !mayRunLong(Use, Now));
    if (!MovesToLongLane)
      return Next;
    Long.add(*Next, Now);
  }
  return std::nullopt;
}

bool LaneOrder::withdraw(QueuedCallId Id) {
  const auto HasId = [Id](const QueuedCall &Call) { return Call.Id == Id; };
  return !Short.extractIf(HasId).empty() || !Long.extractIf(HasId).empty();
}

void LaneOrder::expire(Common::SteadyTime Now, AdmissionActions &Actions) {
  for (Lane *CurrentLane : {&Short, &Long}) {
    for (const QueuedCall &Expired :
         CurrentLane->extractIf([&](const QueuedCall &Call) {
           const bool Waited = Call.Arrived < Now;
           return Call.Deadline <= Now + (Waited ? expectedServiceTime(Call)
                                                 : Common::Micros(0));
         }))
      Actions.push_back(RefuseCall{Expired.Id, ResultCode::DeadlineTooClose});
    if (!CurrentLane->isOverloaded(Now))
      continue;
    // A call is refused after half of its time, so that the other half is left
    // to retry at another server.
    for (const QueuedCall &Late :
         CurrentLane->extractIf([&](const QueuedCall &Call) {
           return Now - Call.Arrived > Call.Deadline - Now;
         }))
      Actions.push_back(RefuseCall{Late.Id, ResultCode::QueueFull});
  }
}

void LaneOrder::refuseAll(ResultCode Code, AdmissionActions &Actions) {
  for (Lane *CurrentLane : {&Short, &Long})
    for (const QueuedCall &Call :
         CurrentLane->extractIf([](const QueuedCall &) { return true; }))
      Actions.push_back(RefuseCall{Call.Id, Code});
}

void LaneOrder::recordOutcome(const QueuedCall &Call,
                              Common::Micros ServiceTime, CallOutcome Outcome) {
  if (Outcome == CallOutcome::NotRun)
    return;
  // The time until a call was aborted is a lower bound of its service time.
  if (Outcome == CallOutcome::Aborted &&
      ServiceTime <= expectedServiceTime(Call))
    return;
  Times.addSample(Call.Kind, Call.LongLane, ServiceTime);
}

LaneOrder::RunningCounts LaneOrder::countRunning(const SlotUse &Use,
                                                 Common::SteadyTime Now) const {
  const auto Threshold = Times.longThreshold();
  RunningCounts Counts;
  for (const auto &[Id, Running] : Use.Running) {
    const bool Overdue = Threshold && Now - Running.StartedAt > *Threshold;
    if (Overdue || isLong(Running.Admitted))
      ++Counts.Long;
    else
      ++Counts.Short;
  }
  return Counts;
}

bool LaneOrder::isLong(const QueuedCall &Call) const {
  return Call.LongLane || Times.runsLong(Call.Kind);
}

bool LaneOrder::hasOverdueCallOfSameKind(const QueuedCall &Call,
                                         const SlotUse &Use,
                                         Common::SteadyTime Now) const {
  const auto Threshold = Times.longThreshold();
  return Threshold &&
         std::any_of(Use.Running.begin(), Use.Running.end(),
                     [&](const auto &Entry) {
                       return Entry.second.Admitted.Kind == Call.Kind &&
                              Now - Entry.second.StartedAt > *Threshold;
                     });
}

int LaneOrder::reservedForShort(int Slots) const {
  const int MinReserve =
      (Slots + SlotsPerReservedSlot - 1) / SlotsPerReservedSlot;
  const int LoadReserve = static_cast<int>(
      std::ceil(ShortLoad + ReserveDeviations * std::sqrt(ShortLoad)));
  return std::min(std::max(MinReserve, LoadReserve), Slots - 1);
}

void LaneOrder::updateShortLoad(const SlotUse &Use, Common::SteadyTime Now) {
  const std::chrono::duration<double> Elapsed = Now - ShortLoadUpdatedAt;
  ShortLoadUpdatedAt = Now;
  const double Current =
      countRunning(Use, Now).Short + static_cast<double>(Short.size());
  const double Weight = 1 - std::exp(-Elapsed / ShortLoadTimeConstant);
  ShortLoad += (Current - ShortLoad) * Weight;
}

bool LaneOrder::mayRunLong(const SlotUse &Use, Common::SteadyTime Now) const {
  return countRunning(Use, Now).Long < Use.Slots - reservedForShort(Use.Slots);
}

bool LaneOrder::prefersLong(const SlotUse &Use, Common::SteadyTime Now) const {
  const auto OldestLong = Long.oldestArrival();
  if (!OldestLong)
    return false;
  // A single slot cannot be reserved: the lane with the oldest call runs next.
  const auto OldestShort = Short.oldestArrival();
  if (Use.Slots == 1)
    return !OldestShort || *OldestLong < *OldestShort;
  // Long calls keep one slot, however many short ones are waiting.
  return countRunning(Use, Now).Long == 0;
}

Common::Micros LaneOrder::expectedWait(const QueuedCall &Call,
                                       const SlotUse &Use,
                                       Common::SteadyTime Now) const {
  const bool IsLong = isLong(Call);
  const Lane &OwnLane = IsLong ? Long : Short;
  const Common::Micros TimePerCall =
      IsLong ? expectedServiceTime(Call)
             : Times.medianShort().value_or(Common::Micros(0));
  const int Slots =
      IsLong ? std::max(Use.Slots - reservedForShort(Use.Slots), 1) : Use.Slots;
  // An overloaded lane serves its newest call next.
  const std::int64_t Ahead =
      OwnLane.isOverloaded(Now) ? 1
                                : static_cast<std::int64_t>(OwnLane.size()) + 1;
  return TimePerCall * Ahead / Slots;
}

Common::Micros LaneOrder::expectedServiceTime(const QueuedCall &Call) const {
  return Times.expected(Call.Kind).value_or(Common::Micros(0));
}

} // namespace Admission
