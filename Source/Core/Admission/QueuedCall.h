#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Common/ResultCode.h"
#include "Common/Time.h"

namespace Admission {

// Identifies a call at its server-side node.
using QueuedCallId = std::uint64_t;

// A call that is offered to the admission queue of a backend server.
struct QueuedCall {
  QueuedCallId Id = 0;
  bool LongLane = false;
  Common::SteadyTime Deadline;
  std::string Caller;
  std::string Kind;
  // Set by the queue.
  Common::SteadyTime Arrived = {};
  // 0 is served first.
  int Priority = 0;
  // The point in time at which the latency target of the call is missed.
  Common::SteadyTime TargetTime = {};
  // The latency target of the kind; 0 when none is stated.
  Common::Micros TargetLatency = Common::Micros(0);
  // The call is refused at once when its estimated wait is longer than this.
  std::optional<Common::Micros> WaitLimit = {};
  // How long the call is expected to hold a slot; 0 if unknown.
  Common::Micros ExpectedCost = Common::Micros(0);
};

struct RunningCall {
  QueuedCall Admitted;
  Common::SteadyTime StartedAt;
  // The number of calls that held slots when this one started, including it.
  int Concurrency = 1;
};

// The slots of a backend server and the calls that hold them.
struct SlotUse {
  int Slots = 0;
  const std::unordered_map<QueuedCallId, RunningCall> &Running;

  bool hasFreeSlot() const {
    return Running.size() < static_cast<std::size_t>(Slots);
  }
};

// The time that a call is expected to wait for a slot, and the values that it
// is computed from.
struct WaitEstimate {
  Common::Micros Wait{0};
  // The number of waiting calls that run before this one.
  int Ahead = 0;
  // The number of slots that are expected to serve this call and those ahead.
  double Slots = 0;
  // The expected service time of the kind; 0 while it is unknown.
  Common::Micros ExpectedServiceTime{0};
};

// Actions that the queue requests from the service that owns it.
struct RunCall {
  QueuedCallId Id = 0;
};
struct RefuseCall {
  QueuedCallId Id = 0;
  Common::ResultCode Code = Common::ResultCode::QueueFull;
  // Empty when the refusal is not based on an estimate.
  std::optional<WaitEstimate> Estimate = {};
};
using AdmissionAction = std::variant<RunCall, RefuseCall>;
using AdmissionActions = std::vector<AdmissionAction>;

// How a call released its slot.
enum class CallOutcome {
  Answered,
  // Cancelled, or not answered by its deadline.
  Aborted,
  // The backend server shed it or could not be reached.
  NotRun,
};

} // namespace Admission
