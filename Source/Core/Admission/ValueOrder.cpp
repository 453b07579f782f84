#include "Admission/ValueOrder.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace Admission {

using Common::ResultCode;

namespace {

// The share of a new time in the mean is 1 / MeanCount.
constexpr int MeanCount = 12;
// Calls that wait for longer than this without a break show that demand is
// above capacity, and not just a moment's clump.
constexpr Common::Millis LastingWait{600};
// What a kind is owed, of the mean share of the kinds that wait. Below 1, so
// that targets decide as long as no kind is far behind.
constexpr double OwedShare = 0.5;

} // namespace

void ValueOrder::add(const Ticket &Call, const SlotUse &Use,
                     Common::SteadyTime Now, AdmissionActions &Actions) {
  const bool MayRunNow = Waiting.empty() && Use.hasFreeSlot();
  if (Waiting.empty())
    WaitingSince = Now;
  Waiting.push_back({Call});
  if (MayRunNow)
    return;
  const int KindsWaiting = findOwed(Now);
  const WaitEstimate Reckoned = estimateWait(Use, KindsWaiting, Now);
  if (const auto Code = reasonToRefuse(Reckoned, Now)) {
    Actions.push_back(RefuseCall{Call.Id, *Code, Reckoned});
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
ValueOrder::reasonToRefuse(const WaitEstimate &Reckoned,
                           Common::SteadyTime Now) const {
  const auto &[Call, IsOwed] = Waiting.back();
  if (Call.WaitLimit && Reckoned.Wait > *Call.WaitLimit)
    return ResultCode::WouldWait;
  const Common::SteadyTime Ends = Now + Reckoned.Wait + Reckoned.UsualTime;
  if (Ends > Call.Deadline)
    return ResultCode::DeadlineTooClose;
  // A kind that always misses its target would else get nothing at all.
  if (Ends > Call.Target && isOverloaded(Now) && !IsOwed)
    return ResultCode::QueueFull;
  return std::nullopt;
}

std::optional<Ticket> ValueOrder::takeNext(const SlotUse &Use,
                                           Common::SteadyTime Now) {
  if (Waiting.empty() || !Use.hasFreeSlot())
    return std::nullopt;
  if (Waiting.size() > 1)
    findOwed(Now);
  const auto First =
      std::min_element(Waiting.begin(), Waiting.end(),
                       [&](const WaitingCall &Left, const WaitingCall &Right) {
                         return precedes(Left, Right, Now);
                       });
  Ticket Next = std::move(First->Call);
  Waiting.erase(First);
  Shares.charge(Next.Kind, Next.TargetLength,
                Times.usual(Next.Kind).value_or(Mean), Now);
  return Next;
}

bool ValueOrder::withdraw(TicketId Id) {
  return std::erase_if(Waiting, [Id](const WaitingCall &Each) {
           return Each.Call.Id == Id;
         }) > 0;
}

void ValueOrder::expire(Common::SteadyTime Now, AdmissionActions &Actions) {
  const bool Overloaded = isOverloaded(Now);
  if (Overloaded)
    findOwed(Now);
  std::erase_if(Waiting, [&](const WaitingCall &Each) {
    const Ticket &Call = Each.Call;
    // A call that has just come is tried, so that wrong estimates mend.
    const bool Waited = Call.Arrived < Now;
    const Common::Micros Needed = Waited ? usualTime(Call) : Common::Micros(0);
    const bool IsHopeless = Now + Needed >= Call.Deadline;
    // Calls that are in time go first as long as the overload lasts, so that
    // those which are late would only be held in vain.
    const bool IsLate =
        Waited && Overloaded && !Each.IsOwed && !meetsTarget(Call, Now);
    if (!IsHopeless && !IsLate)
      return false;
    Actions.push_back(RefuseCall{Call.Id, IsHopeless
                                              ? ResultCode::DeadlineTooClose
                                              : ResultCode::QueueFull});
    return true;
  });
}

void ValueOrder::refuseAll(ResultCode Code, AdmissionActions &Actions) {
  for (const WaitingCall &Each : Waiting)
    Actions.push_back(RefuseCall{Each.Call.Id, Code});
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

int ValueOrder::findOwed(Common::SteadyTime Now) {
  std::map<std::string_view, double> Slots;
  double Sum = 0;
  for (const WaitingCall &Each : Waiting) {
    const auto [Held, IsNew] = Slots.try_emplace(Each.Call.Kind, 0);
    if (!IsNew)
      continue;
    Held->second = Shares.slotsOf(Each.Call.Kind, Now);
    Sum += Held->second;
  }
  const int Kinds = static_cast<int>(Slots.size());
  for (WaitingCall &Each : Waiting)
    Each.IsOwed = Slots.at(Each.Call.Kind) * Kinds < OwedShare * Sum;
  return Kinds;
}

bool ValueOrder::precedes(const WaitingCall &Left, const WaitingCall &Right,
                          Common::SteadyTime Now) const {
  if (Left.IsOwed != Right.IsOwed)
    return Left.IsOwed;
  const bool LeftInTime = meetsTarget(Left.Call, Now);
  if (LeftInTime != meetsTarget(Right.Call, Now))
    return LeftInTime;
  if (!LeftInTime)
    return Left.Call.Deadline < Right.Call.Deadline;
  if (Left.Call.TargetLength != Right.Call.TargetLength)
    return Left.Call.TargetLength < Right.Call.TargetLength;
  if (Left.Call.Priority != Right.Call.Priority)
    return Left.Call.Priority < Right.Call.Priority;
  return Left.Call.Target < Right.Call.Target;
}

WaitEstimate ValueOrder::estimateWait(const SlotUse &Use, int KindsWaiting,
                                      Common::SteadyTime Now) const {
  const WaitingCall &Arriving = Waiting.back();
  WaitEstimate Result;
  Result.UsualTime = usualTime(Arriving.Call);
  Common::Micros Before{0};
  for (const WaitingCall &Each : Waiting)
    if (precedes(Each, Arriving, Now)) {
      Before += Times.usual(Each.Call.Kind).value_or(Mean);
      ++Result.Ahead;
    }
  if (!Use.hasFreeSlot())
    Before += Mean;
  // Calls of tighter kinds go on coming, but take no more than leaves this
  // kind its share.
  const double Tighter =
      Arriving.IsOwed ? 0
                      : Shares.slotsOfTighter(Arriving.Call.TargetLength, Now);
  Result.Slots =
      std::max(Use.Slots - Tighter, OwedShare * Use.Slots / KindsWaiting);
  if (Result.Slots > 0)
    Result.Wait = Common::Micros(static_cast<std::int64_t>(
        static_cast<double>(Before.count()) / Result.Slots));
  return Result;
}

} // namespace Admission
