#pragma once

#include <deque>

#include "Admission/WaitingOrder.h"

namespace Admission {

// Runs calls in the order of their arrival.
class FifoOrder {
public:
  void add(const QueuedCall &Call, const SlotUse &Use, Common::SteadyTime Now,
           AdmissionActions &Actions);
  std::optional<QueuedCall> popNext(const SlotUse &Use, Common::SteadyTime Now);
  bool withdraw(QueuedCallId Id);
  void expire(Common::SteadyTime Now, AdmissionActions &Actions);
  void refuseAll(Common::ResultCode Code, AdmissionActions &Actions);
  void recordOutcome(const QueuedCall &, Common::Micros, CallOutcome) {}
  std::size_t size() const { return Waiting.size(); }

private:
  std::deque<QueuedCall> Waiting;
};

} // namespace Admission
