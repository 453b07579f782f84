#pragma once

#include <concepts>
#include <optional>

#include "Admission/QueuedCall.h"

namespace Admission {

// A queueing discipline: holds the waiting calls and selects the one that runs
// next. Calls that it refuses are appended to the actions.
template <class O>
concept WaitingOrder = requires(O &Order, const O &ConstOrder,
                                const QueuedCall &Call, QueuedCallId Id,
                                const SlotUse &Use, Common::SteadyTime Now,
                                Common::Micros ServiceTime, CallOutcome Outcome,
                                AdmissionActions &Actions) {
  Order.add(Call, Use, Now, Actions);
  // Empty when no waiting call may start now.
  { Order.popNext(Use, Now) } -> std::same_as<std::optional<QueuedCall>>;
  { Order.withdraw(Id) } -> std::same_as<bool>;
  Order.expire(Now, Actions);
  Order.refuseAll(Common::ResultCode::Draining, Actions);
  Order.recordOutcome(Call, ServiceTime, Outcome);
  { ConstOrder.size() } -> std::same_as<std::size_t>;
};

// The maximum length of the queue for each slot of the server.
constexpr std::size_t MaxWaitingPerSlot = 16;

} // namespace Admission
