#pragma once

#include <deque>

#include "Admission/WaitingOrder.h"

namespace Admission {

// Runs calls in the order they came.
class FifoOrder {
public:
  void add(const Ticket &Call, const SlotUse &Use, Common::SteadyTime Now,
           AdmissionActions &Actions);
  std::optional<Ticket> takeNext(const SlotUse &Use, Common::SteadyTime Now);
  bool withdraw(TicketId Id);
  void expire(Common::SteadyTime Now, AdmissionActions &Actions);
  void refuseAll(Common::ResultCode Code, AdmissionActions &Actions);
  void learn(const Ticket &, Common::Micros, Ending) {}
  std::size_t size() const { return Waiting.size(); }

private:
  std::deque<Ticket> Waiting;
};

} // namespace Admission
