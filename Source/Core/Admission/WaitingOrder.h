#pragma once

#include <concepts>
#include <optional>

#include "Admission/Ticket.h"

namespace Admission {

// Keeps the waiting calls and decides which of them runs next. What it refuses
// it appends to the actions.
template <class O>
concept WaitingOrder = requires(O &Order, const O &Seen, const Ticket &Call,
                                TicketId Id, const SlotUse &Use,
                                Common::SteadyTime Now, Common::Micros Took,
                                Ending How, AdmissionActions &Actions) {
  Order.add(Call, Use, Now, Actions);
  // Nothing when no waiting call may have a slot now.
  { Order.takeNext(Use, Now) } -> std::same_as<std::optional<Ticket>>;
  { Order.withdraw(Id) } -> std::same_as<bool>;
  Order.expire(Now, Actions);
  Order.refuseAll(Common::ResultCode::Draining, Actions);
  Order.learn(Call, Took, How);
  { Seen.size() } -> std::same_as<std::size_t>;
};

// Waiting calls for each slot, above which a queue is full.
constexpr std::size_t MaxWaitingPerSlot = 16;

} // namespace Admission
