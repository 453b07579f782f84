#pragma once

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Recovery/StoreEra.h"
#include "Rollout/Order.h"

namespace Rollout {

struct OrdersRead {
  // Ok, LogUnavailable, LogMalformedAnswer or LogOffsetExpired.
  Common::ResultCode Code = Common::ResultCode::Ok;
  std::vector<Order> Orders;
  // The position from which to read on.
  std::int64_t Next = 0;
  // The era in which the store answered, and in which the positions hold.
  std::optional<Recovery::StoreEra> Era = {};
};

// What the operator is told about a roll-out.
struct Status {
  std::string Service;
  std::string TargetVersion;
  State Reached = State::Running;

  bool operator==(const Status &) const = default;
};

struct StatusesRead {
  Common::ResultCode Code = Common::ResultCode::Ok;
  std::vector<Status> Statuses;
  // The end of the statuses, which WriteStatus names as its condition.
  std::int64_t End = 0;
  // As in OrdersRead.
  std::optional<Recovery::StoreEra> Era = {};
};

// Where operators leave their orders and find their statuses. All functions
// return at once and call back later.
template <class S>
concept OrderStore =
    requires(S &Store, std::int64_t Position, Common::Micros MaxWait,
             const Status &Content, std::function<void(OrdersRead)> OnOrders,
             std::function<void(StatusesRead)> OnStatuses,
             std::function<void(Recovery::StoreAnswer)> OnWritten) {
  // The newest order of each service.
  Store.readOrders(OnOrders);
  // The orders from Position on; waits for one.
  Store.awaitOrders(Position, MaxWait, OnOrders);
  Store.readStatuses(OnStatuses);
  // Fails with PublishRaceLost if the statuses do not end at Position any more.
  Store.writeStatus(Content, Position, OnWritten);
  // Cancels the last read of orders. Its callback is not called any more.
  Store.cancel();
};

} // namespace Rollout
