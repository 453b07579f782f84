#include "Admission/FifoOrder.h"

#include <algorithm>

namespace Admission {

using Common::ResultCode;

void FifoOrder::add(const Ticket &Call, const SlotUse &Use,
                    Common::SteadyTime Now, AdmissionActions &Actions) {
  (void)Now;
  if (Waiting.size() >= MaxWaitingPerSlot * static_cast<std::size_t>(Use.Slots))
    Actions.push_back(RefuseCall{Call.Id, ResultCode::QueueFull});
  else
    Waiting.push_back(Call);
}

std::optional<Ticket> FifoOrder::takeNext(const SlotUse &Use,
                                          Common::SteadyTime Now) {
  (void)Now;
  if (Waiting.empty() || !Use.hasFreeSlot())
    return std::nullopt;
  Ticket Next = std::move(Waiting.front());
  Waiting.pop_front();
  return Next;
}

bool FifoOrder::withdraw(TicketId Id) {
  return std::erase_if(Waiting,
                       [Id](const Ticket &Each) { return Each.Id == Id; }) > 0;
}

void FifoOrder::expire(Common::SteadyTime Now, AdmissionActions &Actions) {
  std::erase_if(Waiting, [&](const Ticket &Each) {
    if (Each.Deadline > Now)
      return false;
    Actions.push_back(RefuseCall{Each.Id, ResultCode::DeadlineTooClose});
    return true;
  });
}

void FifoOrder::refuseAll(ResultCode Code, AdmissionActions &Actions) {
  for (const Ticket &Each : Waiting)
    Actions.push_back(RefuseCall{Each.Id, Code});
  Waiting.clear();
}

} // namespace Admission
