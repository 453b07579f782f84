#pragma once

#include <cstdint>
#include <string>

#include "Common/Time.h"
#include "Rollout/Evidence.h"

namespace Rollout {

// What the node beside a server has to do while its service is moved.
struct WatchOrder {
  // The position of the roll-out's order; 0 if there is none.
  std::int64_t Position = 0;
  bool IsTarget = false;
  // Whether the server gets no more calls.
  bool IsClosed = false;

  bool operator==(const WatchOrder &) const = default;
};

// Counts how the calls of the server beside this node end, and closes a server
// of the target version that fails many of its last calls, without waiting for
// any other node.
class ServerWatch {
public:
  void follow(const WatchOrder &NewOrder);
  const WatchOrder &order() const { return Followed; }
  bool isWatching() const { return Followed.Position != 0; }
  // A server that has just started is slow until then.
  void setWarmAt(Common::SteadyTime Time) { WarmAt = Time; }

  void callEnded(const std::string &Kind, Outcome End,
                 Common::Micros ServiceTime, Common::SteadyTime Now);
  bool isClosed() const { return Followed.IsClosed || FuseBlown; }
  const Evidence &evidence() const { return Counts; }

private:
  // The number of the last calls that are looked at, and how many of them may
  // be bad.
  static constexpr int FuseCalls = 20;
  static constexpr int FuseLimit = 5;

  WatchOrder Followed;
  Evidence Counts;
  Common::SteadyTime WarmAt;
  // The last calls, the newest in the lowest bit; 1 stands for a bad one.
  std::uint32_t LastCalls = 0;
  bool FuseBlown = false;
};

} // namespace Rollout
