#pragma once

#include <cstdint>
#include <string>

#include "Common/Time.h"

namespace Rollout {

// The operator's order to move the calls to a service to the servers of one
// version.
struct Order {
  std::string Service;
  std::string TargetVersion;
  // The time from the order in which the move has to be completed.
  Common::Micros Duration{0};
  // The position of the order at its source, counted from 1. A later order for
  // the service replaces an earlier one.
  std::int64_t Position = 0;

  bool operator==(const Order &) const = default;
};

// How far the move is. Completed and RolledBack are final for an order.
enum class State { Running, Completed, RolledBack };

} // namespace Rollout
