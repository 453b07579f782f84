#pragma once

#include "Admission/Lane.h"
#include "Admission/ServiceTimes.h"
#include "Admission/WaitingOrder.h"

namespace Admission {

// Runs short and long calls from lanes of their own. Short calls may use every
// slot, but leave one to long calls that wait; long calls never take the slots
// that are reserved for short ones. Calls that cannot end in time are refused
// early.
class LaneOrder {
public:
  void add(const Ticket &Call, const SlotUse &Use, Common::SteadyTime Now,
           AdmissionActions &Actions);
  std::optional<Ticket> takeNext(const SlotUse &Use, Common::SteadyTime Now);
  bool withdraw(TicketId Id);
  void expire(Common::SteadyTime Now, AdmissionActions &Actions);
  void refuseAll(Common::ResultCode Code, AdmissionActions &Actions);
  void learn(const Ticket &Call, Common::Micros Took, Ending How);
  std::size_t size() const { return Short.size() + Long.size(); }

private:
  // What the running calls mean for new ones.
  struct RunningShare {
    int Short = 0;
    int Long = 0;
  };

  RunningShare runningShare(const SlotUse &Use, Common::SteadyTime Now) const;
  bool isLong(const Ticket &Call) const;
  bool hasOverdueSibling(const Ticket &Call, const SlotUse &Use,
                         Common::SteadyTime Now) const;
  int reservedForShort(int Slots) const;
  void observeShortLoad(const SlotUse &Use, Common::SteadyTime Now);
  bool longMayRun(const SlotUse &Use, Common::SteadyTime Now) const;
  bool longGoesFirst(const SlotUse &Use, Common::SteadyTime Now) const;
  std::optional<Ticket> takeShort(const SlotUse &Use, Common::SteadyTime Now);
  Common::Micros expectedWait(const Ticket &Call, const SlotUse &Use,
                              Common::SteadyTime Now) const;
  Common::Micros usualTime(const Ticket &Call) const;

  Lane Short;
  Lane Long;
  ServiceTimes Times;
  // Mean number of short calls that run or wait.
  double ShortLoad = 0;
  Common::SteadyTime ShortLoadAt;
};

static_assert(WaitingOrder<LaneOrder>);

} // namespace Admission
