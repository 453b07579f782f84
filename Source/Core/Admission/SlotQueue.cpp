#include "Admission/SlotQueue.h"

#include <algorithm>

namespace Admission {

using Common::ResultCode;

namespace {

constexpr std::size_t MaxWaitingPerSlot = 16;

} // namespace

AdmissionActions SlotQueue::offer(const Ticket &Arrived,
                                  Common::SteadyTime Now) {
  AdmissionActions Actions;
  if (Closed) {
    Actions.push_back(RefuseCall{Arrived.Id, ResultCode::Draining});
  } else if (Slots <= 0) {
    Actions.push_back(RefuseCall{Arrived.Id, ResultCode::NoLiveServer});
  } else if (Waiting.size() >=
             MaxWaitingPerSlot * static_cast<std::size_t>(Slots)) {
    Actions.push_back(RefuseCall{Arrived.Id, ResultCode::QueueFull});
  } else {
    Waiting.push_back(Arrived);
    runWaiting(Now, Actions);
  }
  return Actions;
}

AdmissionActions SlotQueue::finished(TicketId Id, Common::SteadyTime Now) {
  AdmissionActions Actions;
  Running.erase(Id);
  runWaiting(Now, Actions);
  return Actions;
}

bool SlotQueue::withdraw(TicketId Id) {
  const auto Found =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [Id](const Ticket &Each) { return Each.Id == Id; });
  if (Found == Waiting.end())
    return false;
  Waiting.erase(Found);
  return true;
}

AdmissionActions SlotQueue::expire(Common::SteadyTime Now) {
  AdmissionActions Actions;
  std::erase_if(Waiting, [&](const Ticket &Each) {
    if (Each.Deadline > Now)
      return false;
    Actions.push_back(RefuseCall{Each.Id, ResultCode::DeadlineTooClose});
    return true;
  });
  return Actions;
}

void SlotQueue::runWaiting(Common::SteadyTime Now, AdmissionActions &Actions) {
  // A VM that was frozen finds deadlines long past when it wakes.
  const AdmissionActions Expired = expire(Now);
  Actions.insert(Actions.end(), Expired.begin(), Expired.end());
  while (!Waiting.empty() && Running.size() < static_cast<std::size_t>(Slots)) {
    const Ticket Next = Waiting.front();
    Waiting.pop_front();
    Running.emplace(Next.Id, Next);
    Actions.push_back(RunCall{Next.Id});
  }
}

Routing::ServerLoad SlotQueue::load() const {
  return {.Queued = static_cast<int>(Waiting.size()),
          .BusySlots = static_cast<int>(Running.size()),
          .Slots = Slots};
}

} // namespace Admission
