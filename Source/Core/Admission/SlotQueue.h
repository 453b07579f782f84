#pragma once

#include <algorithm>
#include <iterator>

#include "Admission/ServerSpeed.h"
#include "Admission/SlotEstimate.h"
#include "Admission/WaitingOrder.h"
#include "Routing/Call.h"

namespace Admission {

// Limits the concurrency of calls to one backend server to the number of its
// slots. A refused call never left the queue, so it certainly did not run.
template <WaitingOrder Order> class SlotQueue {
public:
  // 0 when the server has left. All waiting calls are then refused.
  AdmissionActions setSlots(int Announced, Common::SteadyTime Now);
  // Refuses every new call from now on. Waiting and running calls continue.
  void close() { Closed = true; }

  AdmissionActions offer(QueuedCall NewCall, Common::SteadyTime Now);
  // Releases the slot of a running call that finished or was cancelled.
  AdmissionActions onFinished(QueuedCallId Id, Common::SteadyTime Now,
                              CallOutcome Outcome = CallOutcome::Answered);
  // Removes a waiting call. Returns false when it is running or unknown.
  bool withdraw(QueuedCallId Id) { return Waiting.withdraw(Id); }
  // Refuses waiting calls that cannot finish in time, and starts calls in free
  // slots.
  AdmissionActions expire(Common::SteadyTime Now);

  // Announced slots that the estimate considers unusable count as busy.
  Routing::ServerLoad load() const;
  // The expected time of the work that is left of all calls, divided by the
  // slots; 0 if unknown.
  Common::Micros backlog(Common::SteadyTime Now) const {
    if constexpr (requires { Waiting.backlog(slotUse(), Now); })
      return Waiting.backlog(slotUse(), Now);
    return Common::Micros(0);
  }
  // The speed of the server, if the order learns it.
  ServerSpeed *speed() {
    if constexpr (requires { Waiting.speed(); })
      return &Waiting.speed();
    return nullptr;
  }
  bool isIdle() const { return Running.empty() && Waiting.size() == 0; }

private:
  SlotUse slotUse() const { return {Slots.usable(), Running}; }
  void runWaiting(Common::SteadyTime Now, AdmissionActions &Actions);

  SlotEstimate Slots;
  bool Closed = false;
  Order Waiting;
  std::unordered_map<QueuedCallId, RunningCall> Running;
};

template <WaitingOrder Order>
AdmissionActions SlotQueue<Order>::setSlots(int Announced,
                                            Common::SteadyTime Now) {
  AdmissionActions Actions;
  Slots.onAnnounced(Announced);
  if (Announced <= 0)
    Waiting.refuseAll(Common::ResultCode::NoLiveServer, Actions);
  else
    runWaiting(Now, Actions);
  return Actions;
}

template <WaitingOrder Order>
AdmissionActions SlotQueue<Order>::offer(QueuedCall NewCall,
                                         Common::SteadyTime Now) {
  AdmissionActions Actions;
  if (Closed) {
    Actions.push_back(RefuseCall{NewCall.Id, Common::ResultCode::Draining});
  } else if (Slots.announced() <= 0) {
    Actions.push_back(RefuseCall{NewCall.Id, Common::ResultCode::NoLiveServer});
  } else {
    NewCall.Arrived = Now;
    Waiting.add(NewCall, slotUse(), Now, Actions);
    runWaiting(Now, Actions);
  }
  return Actions;
}

template <WaitingOrder Order>
AdmissionActions SlotQueue<Order>::onFinished(QueuedCallId Id,
                                              Common::SteadyTime Now,
                                              CallOutcome Outcome) {
  AdmissionActions Actions;
  const auto Extracted = Running.extract(Id);
  if (Extracted.empty())
    return Actions;
  const RunningCall &Finished = Extracted.mapped();
  Waiting.recordOutcome(
      Finished.Admitted,
      std::chrono::duration_cast<Common::Micros>(Now - Finished.StartedAt),
      Outcome);
  if (Outcome == CallOutcome::Answered)
    Slots.onAnswered(Finished.Concurrency, Now);
  else if (Outcome == CallOutcome::NotRun)
    Slots.onNotRun(Finished.Concurrency, Now);
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
  // The deadlines of waiting calls may have passed while the VM was frozen.
  Waiting.expire(Now, Actions);
  while (const auto Next = Waiting.popNext(slotUse(), Now)) {
    const int Concurrency = static_cast<int>(Running.size()) + 1;
    Running.emplace(Next->Id, RunningCall{*Next, Now, Concurrency});
    Actions.push_back(RunCall{Next->Id});
  }
}

template <WaitingOrder Order>
Routing::ServerLoad SlotQueue<Order>::load() const {
  const int UnusableSlots = Slots.announced() - Slots.usable();
  Routing::ServerLoad Result;
  Result.Queued = static_cast<int>(Waiting.size());
  Result.BusySlots = static_cast<int>(Running.size()) + UnusableSlots;
  Result.Slots = Slots.announced();
  if constexpr (requires { Waiting.slotTime(); })
    Result.SlotTime = Waiting.slotTime();
  return Result;
}

} // namespace Admission
