#pragma once

#include "Admission/Lane.h"
#include "Admission/ServiceTimes.h"
#include "Admission/WaitingOrder.h"

namespace Admission {

// Queues short and long calls in separate lanes. Short calls may use every
// slot, but leave one to waiting long calls. Long calls never use the slots
// that are reserved for short ones. Calls that cannot finish by their deadline
// are refused early.
class LaneOrder {
public:
  void add(const QueuedCall &Call, const SlotUse &Use, Common::SteadyTime Now,
           AdmissionActions &Actions);
  std::optional<QueuedCall> popNext(const SlotUse &Use, Common::SteadyTime Now);
  bool withdraw(QueuedCallId Id);
  void expire(Common::SteadyTime Now, AdmissionActions &Actions);
  void refuseAll(Common::ResultCode Code, AdmissionActions &Actions);
  void recordOutcome(const QueuedCall &Call, Common::Micros ServiceTime,
                     CallOutcome Outcome);
  std::size_t size() const { return Short.size() + Long.size(); }

private:
  // The numbers of running calls. Calls of the short lane that have been
  // running for too long count as long.
  struct RunningCounts {
    int Short = 0;
    int Long = 0;
  };

  RunningCounts countRunning(const SlotUse &Use, Common::SteadyTime Now) const;
  bool isLong(const QueuedCall &Call) const;
  bool hasOverdueCallOfSameKind(const QueuedCall &Call, const SlotUse &Use,
                                Common::SteadyTime Now) const;
  int reservedForShort(int Slots) const;
  void updateShortLoad(const SlotUse &Use, Common::SteadyTime Now);
  bool mayRunLong(const SlotUse &Use, Common::SteadyTime Now) const;
  bool prefersLong(const SlotUse &Use, Common::SteadyTime Now) const;
  std::optional<QueuedCall> popShort(const SlotUse &Use,
                                     Common::SteadyTime Now);
  Common::Micros expectedWait(const QueuedCall &Call, const SlotUse &Use,
                              Common::SteadyTime Now) const;
  Common::Micros expectedServiceTime(const QueuedCall &Call) const;

  Lane Short;
  Lane Long;
  ServiceTimes Times;
  // The mean number of running and waiting short calls.
  double ShortLoad = 0;
  Common::SteadyTime ShortLoadUpdatedAt;
};

static_assert(WaitingOrder<LaneOrder>);

} // namespace Admission
