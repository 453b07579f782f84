#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Common/ResultCode.h"
#include "Common/Time.h"

namespace Routing {

// Names one attempt of a call; unique among the attempts of one near node.
using AttemptId = std::int64_t;
// Names a call for as long as its near node works on it.
using CallId = std::int64_t;
// "IP:port" of a node's peer socket.
using NodeAddress = std::string;

// A request on its way from a near node to a far node.
struct CallRequest {
  AttemptId Attempt = 0;
  std::string Service;
  std::string Kind;
  std::string Method;
  std::string Target;
  std::string Body;
  std::map<std::string, std::string> Fields;
  // Clocks differ between VMs, so the time left travels, not a point in time.
  Common::Micros Remaining{0};
  // How many attempts each call further down the chain may make.
  int AttemptsLeft = 1;
  // Time left in which the answer is worth most; 0 when it isn't stated.
  Common::Micros TargetLeft{0};
  // The whole of that time, as its kind has it.
  Common::Micros TargetLength{0};
  // 0 is served first when there is too little room.
  int Priority = 0;
  // The far node refuses the call at once when it would wait for longer.
  std::optional<Common::Micros> WaitLimit;
  // Set when the call must reach this very server.
  std::string Server;
  bool LongLane = false;
  bool Idempotent = true;
  std::string CorrelationId;
  std::string Caller;
  std::int64_t ConfigVersion = 0;
};

// What the far node knows of its backend server, sent with each answer.
struct ServerLoad {
  int Queued = 0;
  int BusySlots = 0;
  int Slots = 0;
  // How long calls of all kinds hold a slot there at present; 0 is unknown.
  Common::Micros SlotTime{0};
  // Share of the latest calls that the server failed, in hundredths.
  int FailurePercent = 0;
};

// HTTP statuses from here on say that the server failed.
constexpr int FirstServerError = 500;

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
