#pragma once

#include <algorithm>
#include <iterator>

#include "Admission/SlotEstimate.h"
#include "Admission/WaitingOrder.h"
#include "Routing/Call.h"

namespace Admission {

// Admits calls to the exact number of slots of one backend server. A refused
// call certainly did not run: it never left the queue.
template <WaitingOrder Order> class SlotQueue {
public:
  // 0 when the server is gone: what waits is then refused.
  AdmissionActions setSlots(int Announced, Common::SteadyTime Now);
  // From now on every new call is refused; those inside go on.
  void close() { Closed = true; }

  AdmissionActions offer(Ticket Arrived, Common::SteadyTime Now);
  // A running call ended, or its caller gave up on it.
  AdmissionActions finished(TicketId Id, Common::SteadyTime Now,
                            Ending How = Ending::Answered);
  // Takes a waiting call out. False when it runs already or is unknown.
  bool withdraw(TicketId Id) { return Waiting.withdraw(Id); }
  // Refuses waiting calls that cannot end in time, and runs what may run.
  AdmissionActions expire(Common::SteadyTime Now);

  // Slots that the server lacks by its own conduct count as busy.
  Routing::ServerLoad load() const;
  bool isIdle() const { return Running.empty() && Waiting.size() == 0; }

private:
  SlotUse use() const { return {Slots.usable(), Running}; }
  void runWaiting(Common::SteadyTime Now, AdmissionActions &Actions);

  SlotEstimate Slots;
  bool Closed = false;
  Order Waiting;
  std::unordered_map<TicketId, RunningCall> Running;
};

template <WaitingOrder Order>
AdmissionActions SlotQueue<Order>::setSlots(int Announced,
                                            Common::SteadyTime Now) {
  AdmissionActions Actions;
  Slots.announce(Announced);
  if (Announced <= 0)
    Waiting.refuseAll(Common::ResultCode::NoLiveServer, Actions);
  else
    runWaiting(Now, Actions);
  return Actions;
}

template <WaitingOrder Order>
AdmissionActions SlotQueue<Order>::offer(Ticket Arrived,
                                         Common::SteadyTime Now) {
  AdmissionActions Actions;
  if (Closed) {
    Actions.push_back(RefuseCall{Arrived.Id, Common::ResultCode::Draining});
  } else if (Slots.announced() <= 0) {
    Actions.push_back(RefuseCall{Arrived.Id, Common::ResultCode::NoLiveServer});
  } else {
    Arrived.Arrived = Now;
    Waiting.add(Arrived, use(), Now, Actions);
    runWaiting(Now, Actions);
  }
  return Actions;
}

template <WaitingOrder Order>
AdmissionActions SlotQueue<Order>::finished(TicketId Id, Common::SteadyTime Now,
                                            Ending How) {
  AdmissionActions Actions;
  const auto Node = Running.extract(Id);
  if (Node.empty())
    return Actions;
  const RunningCall &Ended = Node.mapped();
  Waiting.learn(
      Ended.Admitted,
      std::chrono::duration_cast<Common::Micros>(Now - Ended.StartedAt), How);
  if (How == Ending::Answered)
    Slots.answered(Ended.Beside, Now);
  else if (How == Ending::NotRun)
    Slots.notRun(Ended.Beside, Now);
  runWaiting(Now, Actions);
  return Actions;
}

template <WaitingOrder Order>
AdmissionActions SlotQueue<Order>::expire(Common::SteadyTime Now) {
  AdmissionActions Actions;
  runWaiting(Now, Actions);
  return Actions;
}

template <WaitingOrder Order>
void SlotQueue<Order>::runWaiting(Common::SteadyTime Now,
                                  AdmissionActions &Actions) {
  // A VM that was frozen finds deadlines long past when it wakes.
  Waiting.expire(Now, Actions);
  while (const auto Next = Waiting.takeNext(use(), Now)) {
    const int Beside = static_cast<int>(Running.size()) + 1;
    Running.emplace(Next->Id, RunningCall{*Next, Now, Beside});
    Actions.push_back(RunCall{Next->Id});
  }
}

template <WaitingOrder Order>
Routing::ServerLoad SlotQueue<Order>::load() const {
  const int Lacking = Slots.announced() - Slots.usable();
  Routing::ServerLoad Result;
  Result.Queued = static_cast<int>(Waiting.size());
  Result.BusySlots = static_cast<int>(Running.size()) + Lacking;
  Result.Slots = Slots.announced();
  if constexpr (requires { Waiting.slotTime(); })
    Result.SlotTime = Waiting.slotTime();
  return Result;
}

} // namespace Admission
