#include "Admission/ValueOrder.h"

#include <algorithm>

namespace Admission {

using Common::ResultCode;

namespace {

// The share of a new time in the mean is 1 / MeanCount.
constexpr int MeanCount = 12;

} // namespace

void ValueOrder::add(const Ticket &Call, const SlotUse &Use,
                     Common::SteadyTime Now, AdmissionActions &Actions) {
  const bool MayRunNow = Waiting.empty() && Use.hasFreeSlot();
  if (!MayRunNow) {
    const Common::Micros Wait = expectedWait(Call, Use, Now);
    if (Call.WaitLimit && Wait > *Call.WaitLimit) {
      Actions.push_back(RefuseCall{Call.Id, ResultCode::WouldWait});
      return;
    }
    if (Now + Wait + usualTime(Call) > Call.Deadline) {
      Actions.push_back(RefuseCall{Call.Id, ResultCode::DeadlineTooClose});
      return;
    }
  }
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
    if (Now + Needed < Call.Deadline)
      return false;
    Actions.push_back(RefuseCall{Call.Id, ResultCode::DeadlineTooClose});
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

bool ValueOrder::meetsTarget(const Ticket &Call, Common::SteadyTime Now) const {
  return Now + usualTime(Call) <= Call.Target;
}

bool ValueOrder::precedes(const Ticket &Left, const Ticket &Right,
                          Common::SteadyTime Now) const {
  if (Left.Priority != Right.Priority)
    return Left.Priority < Right.Priority;
  const bool LeftInTime = meetsTarget(Left, Now);
  if (LeftInTime != meetsTarget(Right, Now))
    return LeftInTime;
  return LeftInTime ? Left.Target < Right.Target
                    : Left.Deadline < Right.Deadline;
}

Common::Micros ValueOrder::expectedWait(const Ticket &Call, const SlotUse &Use,
                                        Common::SteadyTime Now) const {
  const auto Ahead =
      std::count_if(Waiting.begin(), Waiting.end(), [&](const Ticket &Each) {
        return precedes(Each, Call, Now);
      });
  const int Free = Use.Slots - static_cast<int>(Use.Running.size());
  const std::int64_t Rounds = std::max<std::int64_t>(Ahead + 1 - Free, 0);
  return Mean * Rounds / std::max(Use.Slots, 1);
}

} // namespace Admission
