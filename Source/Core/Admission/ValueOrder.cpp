#include "Admission/ValueOrder.h"

#include <algorithm>

namespace Admission {

using Common::ResultCode;

namespace {

// The share of a new time in the mean is 1 / MeanCount.
constexpr int MeanCount = 12;
// Calls that wait for longer than this without a break show that demand is
// above capacity, and not just a moment's clump.
constexpr Common::Millis LastingWait{600};

} // namespace

void ValueOrder::add(const Ticket &Call, const SlotUse &Use,
                     Common::SteadyTime Now, AdmissionActions &Actions) {
  const bool MayRunNow = Waiting.empty() && Use.hasFreeSlot();
  if (!MayRunNow) {
    const WaitEstimate Reckoned = estimateWait(Call, Use, Now);
    if (const auto Code = reasonToRefuse(Call, Reckoned, Now)) {
      Actions.push_back(RefuseCall{Call.Id, *Code, Reckoned});
      return;
    }
  }
  if (Waiting.empty())
    WaitingSince = Now;
  Waiting.push_back(Call);
  if (Waiting.size() <= MaxWaitingPerSlot * static_cast<std::size_t>(Use.Slots))
    return;
  const auto Last =
      std::max_element(Waiting.begin(), Waiting.end(),
                       [&](const Ticket &Left, const Ticket &Right) {
                         return precedes(Left, Right, Now);
                       });
  Actions.push_back(RefuseCall{Last->Id, ResultCode::QueueFull});
  Waiting.erase(Last);
}

std::optional<ResultCode>
ValueOrder::reasonToRefuse(const Ticket &Call, const WaitEstimate &Reckoned,
                           Common::SteadyTime Now) const {
  if (Call.WaitLimit && Reckoned.Wait > *Call.WaitLimit)
    return ResultCode::WouldWait;
  const Common::SteadyTime Ends = Now + Reckoned.Wait + Reckoned.UsualTime;
  if (Ends > Call.Deadline)
    return ResultCode::DeadlineTooClose;
  if (Ends > Call.Target && isOverloaded(Now))
    return ResultCode::QueueFull;
  return std::nullopt;
}

std::optional<Ticket> ValueOrder::takeNext(const SlotUse &Use,
                                           Common::SteadyTime Now) {
  if (Waiting.empty() || !Use.hasFreeSlot())
    return std::nullopt;
  const auto First =
      std::min_element(Waiting.begin(), Waiting.end(),
                       [&](const Ticket &Left, const Ticket &Right) {
                         return precedes(Left, Right, Now);
                       });
  Ticket Next = *First;
  Waiting.erase(First);
  return Next;
}

bool ValueOrder::withdraw(TicketId Id) {
  return std::erase_if(Waiting,
                       [Id](const Ticket &Each) { return Each.Id == Id; }) > 0;
}

void ValueOrder::expire(Common::SteadyTime Now, AdmissionActions &Actions) {
  std::erase_if(Waiting, [&](const Ticket &Call) {
    // A call that has just come is tried, so that wrong estimates mend.
    const bool Waited = Call.Arrived < Now;
    const Common::Micros Needed = Waited ? usualTime(Call) : Common::Micros(0);
    const bool IsHopeless = Now + Needed >= Call.Deadline;
    // Calls that are in time go first as long as the overload lasts, so that
    // those which are late would only be held in vain.
    const bool IsLate = Waited && isOverloaded(Now) && !meetsTarget(Call, Now);
    if (!IsHopeless && !IsLate)
      return false;
    Actions.push_back(RefuseCall{Call.Id, IsHopeless
                                              ? ResultCode::DeadlineTooClose
                                              : ResultCode::QueueFull});
    return true;
  });
}

void ValueOrder::refuseAll(ResultCode Code, AdmissionActions &Actions) {
  for (const Ticket &Each : Waiting)
    Actions.push_back(RefuseCall{Each.Id, Code});
  Waiting.clear();
}

void ValueOrder::learn(const Ticket &Call, Common::Micros Took, Ending How) {
  if (How == Ending::NotRun ||
      (How == Ending::CutOff && Took <= usualTime(Call)))
    return;
  Times.learn(Call.Kind, Call.LongLane, Took);
  Mean = Mean.count() == 0 ? Took : Mean + (Took - Mean) / MeanCount;
}

Common::Micros ValueOrder::usualTime(const Ticket &Call) const {
  return Times.usual(Call.Kind).value_or(Common::Micros(0));
}

bool ValueOrder::isOverloaded(Common::SteadyTime Now) const {
  return !Waiting.empty() && WaitingSince && Now - *WaitingSince > LastingWait;
}

bool ValueOrder::meetsTarget(const Ticket &Call, Common::SteadyTime Now) const {
  return Now + usualTime(Call) <= Call.Target;
}

bool ValueOrder::precedes(const Ticket &Left, const Ticket &Right,
                          Common::SteadyTime Now) const {
  const bool LeftInTime = meetsTarget(Left, Now);
  if (LeftInTime != meetsTarget(Right, Now))
    return LeftInTime;
  if (!LeftInTime)
    return Left.Deadline < Right.Deadline;
  if (Left.TargetLength != Right.TargetLength)
    return Left.TargetLength < Right.TargetLength;
  if (Left.Priority != Right.Priority)
    return Left.Priority < Right.Priority;
  return Left.Target < Right.Target;
}

WaitEstimate ValueOrder::estimateWait(const Ticket &Call, const SlotUse &Use,
                                      Common::SteadyTime Now) const {
  WaitEstimate Result;
  Result.UsualTime = usualTime(Call);
  Common::Micros Before{0};
  for (const Ticket &Each : Waiting)
    if (precedes(Each, Call, Now)) {
      Before += Times.usual(Each.Kind).value_or(Mean);
      ++Result.Ahead;
    }
  if (!Use.hasFreeSlot())
    Before += Mean;
  // Calls of tighter kinds go on taking about as many slots as they have now.
  const auto Tighter = std::count_if(
      Use.Running.begin(), Use.Running.end(), [&](const auto &Each) {
        return Each.second.Admitted.TargetLength < Call.TargetLength;
      });
  Result.Slots = std::max(Use.Slots - static_cast<int>(Tighter), 1);
  Result.Wait = Before / Result.Slots;
  return Result;
}

} // namespace Admission
