#pragma once

#include <vector>

#include "Admission/ServerSpeed.h"
#include "Admission/ServiceTimes.h"
#include "Admission/SlotShares.h"
#include "Admission/WaitingOrder.h"

namespace Admission {

// Orders calls by the value that their answers still have, which depends on the
// latency targets. Calls that can still meet their target run first: kinds with
// tighter targets before the others (deadline-monotonic scheduling), then by
// priority. Calls that have missed their target use the remaining capacity. A
// call that cannot finish by its deadline is refused at once.
//
// Kinds with tight targets are mostly nested calls, made by requests that are
// already running. While a nested call waits, its request holds a slot of
// another server, and when it fails, the work of that request is lost.
//
// Load pattern: demand exceeds capacity for several seconds. In FIFO order
// every call would wait until just after its target, and hardly any answer
// would still be useful. Here calls that cannot meet their target yield to
// those that can, and are refused at once.
//
// Under sustained overload a strict order would starve the kinds at its end.
// Each kind is therefore entitled to a share of the slots: a kind whose recent
// usage is less than half of the mean usage of the waiting kinds runs before
// the others until it has caught up.
class ValueOrder {
public:
  void add(const QueuedCall &Call, const SlotUse &Use, Common::SteadyTime Now,
           AdmissionActions &Actions);
  std::optional<QueuedCall> popNext(const SlotUse &Use, Common::SteadyTime Now);
  bool withdraw(QueuedCallId Id);
  void expire(Common::SteadyTime Now, AdmissionActions &Actions);
  void refuseAll(Common::ResultCode Code, AdmissionActions &Actions);
  void recordOutcome(const QueuedCall &Call, Common::Micros ServiceTime,
                     CallOutcome Outcome);
  std::size_t size() const { return Waiting.size(); }
  Common::Micros slotTime() const { return MeanSlotTime; }
  // The expected time of the work that is left of all calls, divided by the
  // slots; 0 if no call stated its expected cost yet.
  Common::Micros backlog(const SlotUse &Use, Common::SteadyTime Now) const;
  ServerSpeed &speed() { return Speed; }

private:
  struct WaitingCall {
    QueuedCall Call;
    // The kind of the call received less than its share of the slots.
    bool HasShareDeficit = false;
  };

  // By the times of the kind here and the stated cost of the call; 0 if neither
  // is known.
  Common::Micros expectedServiceTime(const QueuedCall &Call) const;
  Common::Micros expectedServiceTimeOr(const QueuedCall &Call,
                                       Common::Micros Default) const;
  Common::Micros remainingTime(const RunningCall &Call,
                               Common::SteadyTime Now) const;
  bool isOverloaded(Common::SteadyTime Now) const;
  bool meetsTarget(const QueuedCall &Call, Common::SteadyTime Now) const;
  bool precedes(const WaitingCall &Left, const WaitingCall &Right,
                Common::SteadyTime Now) const;
  // Marks the calls of kinds with a share deficit. Returns the number of kinds
  // that have waiting calls.
  int updateShareDeficits(Common::SteadyTime Now);
  // Returns the code with which to refuse the newest waiting call, if any.
  std::optional<Common::ResultCode>
  reasonToRefuse(const WaitEstimate &Estimate, Common::SteadyTime Now) const;
  // Estimates the wait of the newest waiting call.
  WaitEstimate estimateWait(const SlotUse &Use, int KindsWaiting,
                            Common::SteadyTime Now) const;

  std::vector<WaitingCall> Waiting;
  ServiceTimes Times;
  SlotShares Shares;
  ServerSpeed Speed;
  // Whether a call stated its expected cost.
  bool KnowsCosts = false;
  // The start of the current period without an empty queue.
  std::optional<Common::SteadyTime> NonEmptySince;
  // The smoothed time that calls of all kinds hold a slot.
  Common::Micros MeanSlotTime{0};
};

static_assert(WaitingOrder<ValueOrder>);

} // namespace Admission
