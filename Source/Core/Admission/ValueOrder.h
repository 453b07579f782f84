#pragma once

#include <vector>

#include "Admission/ServiceTimes.h"
#include "Admission/SlotShares.h"
#include "Admission/WaitingOrder.h"

namespace Admission {

// Serves by what an answer is still worth: first the calls that can still meet
// their latency target, those of the kinds with the tightest targets before
// the others (deadline-monotonic), then the more urgent ones; calls that missed
// their target take what room is left. A call that cannot end by its deadline
// is refused at once.
//
// Kinds with tight targets are mostly calls that running requests make: while
// one waits, its request holds a slot of another server, and when it fails,
// the work of that request is lost.
//
// Load pattern: demand above capacity for seconds. In order of arrival every
// call would wait until just past its target, and hardly any answer would be
// worth much; here those that cannot make it give way to those that can, and
// are told so at once.
//
// Above capacity a strict order would never reach the kinds at its end. Each
// kind is therefore owed a share of the slots: one that got less than half of
// what the waiting kinds got on average goes before all others, until it has
// caught up.
class ValueOrder {
public:
  void add(const Ticket &Call, const SlotUse &Use, Common::SteadyTime Now,
           AdmissionActions &Actions);
  std::optional<Ticket> takeNext(const SlotUse &Use, Common::SteadyTime Now);
  bool withdraw(TicketId Id);
  void expire(Common::SteadyTime Now, AdmissionActions &Actions);
  void refuseAll(Common::ResultCode Code, AdmissionActions &Actions);
  void learn(const Ticket &Call, Common::Micros Took, Ending How);
  std::size_t size() const { return Waiting.size(); }
  Common::Micros slotTime() const { return Mean; }

private:
  struct WaitingCall {
    Ticket Call;
    // Its kind got less than its share of the slots.
    bool IsOwed = false;
  };

  Common::Micros usualTime(const Ticket &Call) const;
  bool isOverloaded(Common::SteadyTime Now) const;
  bool meetsTarget(const Ticket &Call, Common::SteadyTime Now) const;
  bool precedes(const WaitingCall &Left, const WaitingCall &Right,
                Common::SteadyTime Now) const;
  // Finds the kinds that are owed, and gives the number of kinds that wait.
  int findOwed(Common::SteadyTime Now);
  // Of the call that came last.
  std::optional<Common::ResultCode>
  reasonToRefuse(const WaitEstimate &Reckoned, Common::SteadyTime Now) const;
  WaitEstimate estimateWait(const SlotUse &Use, int KindsWaiting,
                            Common::SteadyTime Now) const;

  std::vector<WaitingCall> Waiting;
  ServiceTimes Times;
  SlotShares Shares;
  // Since when calls have been waiting without a break.
  std::optional<Common::SteadyTime> WaitingSince;
  // Mean time that calls of all kinds hold a slot.
  Common::Micros Mean{0};
};

static_assert(WaitingOrder<ValueOrder>);

} // namespace Admission
