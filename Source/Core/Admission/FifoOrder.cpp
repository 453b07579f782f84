#include "Admission/FifoOrder.h"

#include <algorithm>

namespace Admission {

using Common::ResultCode;

void FifoOrder::add(const QueuedCall &Call, const SlotUse &Use,
                    Common::SteadyTime Now, AdmissionActions &Actions) {
  (void)Now;
  if (Waiting.size() >= MaxWaitingPerSlot * static_cast<std::size_t>(Use.Slots))
    Actions.push_back(RefuseCall{Call.Id, ResultCode::QueueFull});
  else
    Waiting.push_back(Call);
}

std::optional<QueuedCall> FifoOrder::popNext(const SlotUse &Use,
                                             Common::SteadyTime Now) {
  (void)Now;
  if (Waiting.empty() || !Use.hasFreeSlot())
    return std::nullopt;
  QueuedCall Next = std::move(Waiting.front());
  Waiting.pop_front();
  return Next;
}

bool FifoOrder::withdraw(QueuedCallId Id) {
  return std::erase_if(Waiting, [Id](const QueuedCall &Call) {
           return Call.Id == Id;
         }) > 0;
}

void FifoOrder::expire(Common::SteadyTime Now, AdmissionActions &Actions) {
  std::erase_if(Waiting, [&](const QueuedCall &Call) {
    if (Call.Deadline > Now)
      return false;
    Actions.push_back(RefuseCall{Call.Id, ResultCode::DeadlineTooClose});
    return true;
  });
}

void FifoOrder::refuseAll(ResultCode Code, AdmissionActions &Actions) {
  for (const QueuedCall &Call : Waiting)
    Actions.push_back(RefuseCall{Call.Id, Code});
  Waiting.clear();
}

} // namespace Admission
