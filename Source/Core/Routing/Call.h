#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Common/ResultCode.h"
#include "Common/SharedText.h"
#include "Common/Time.h"

namespace Routing {

// Identifies one attempt of a call; unique within one caller-side node.
using AttemptId = std::int64_t;
// Identifies a call while its caller-side node has it open.
using CallId = std::int64_t;
// "IP:port" of a node's peer socket.
using NodeAddress = std::string;

// A request that a caller-side node sends to a server-side node.
struct CallRequest {
  AttemptId Attempt = 0;
  std::string Service;
  std::string Kind;
  std::string Method;
  std::string Target;
  Common::SharedText Body;
  std::map<std::string, std::string> Fields;
  // Time left until the deadline: a duration and not a point in time, as the
  // clocks of VMs differ.
  Common::Micros Remaining{0};
  // How many attempts each call further down the call chain may make.
  int AttemptsLeft = 1;
  // Time left until the latency target is missed, or until the deadline if the
  // kind has no target; 0 when not specified.
  Common::Micros TargetTimeLeft{0};
  // The latency target of its kind; 0 if there is none.
  Common::Micros TargetLatency{0};
  // When capacity is short, 0 is served first.
  int Priority = 0;
  // The server-side node refuses the call at once if it would queue for longer.
  std::optional<Common::Micros> WaitLimit;
  // Set when only this server may run the call.
  std::string Server;
  // The name of the tenant that sent it; empty if there is none.
  std::string Tenant;
  // How long the call is expected to hold a slot of a server of usual speed; 0
  // if unknown.
  Common::Micros ExpectedCost{0};
  bool LongLane = false;
  bool Idempotent = true;
  std::string CorrelationId;
  std::string Caller;
  std::int64_t ConfigVersion = 0;
};

// The load of a backend server, which its node sends with each answer.
struct ServerLoad {
  int Queued = 0;
  int BusySlots = 0;
  int Slots = 0;
  // The current time for which calls of all kinds hold a slot; 0 if unknown.
  Common::Micros SlotTime{0};
  // Percentage of the latest calls that the server failed.
  int FailurePercent = 0;
  // The expected time of all work that is running or waiting, divided by the
  // slots; 0 if unknown.
  Common::Micros Backlog{0};
  // How long work takes at the server at this moment, in percent of a server of
  // usual speed; 0 if unknown.
  int SlownessPercent = 0;
};

// HTTP statuses from this one on are server errors.
constexpr int MinServerErrorStatus = 500;

struct CallReply {
  AttemptId Attempt = 0;
  Common::ResultCode Result = Common::ResultCode::Ok;
  int HttpStatus = 0;
  std::string Body;
  std::map<std::string, std::string> Fields;
  ServerLoad Load;
  Common::Micros QueueTime{0};
  Common::Micros ServiceTime{0};
  std::string Server;
};

} // namespace Routing
