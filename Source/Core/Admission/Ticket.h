#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Common/ResultCode.h"
#include "Common/Time.h"

namespace Admission {

// Names a call at its far node.
using TicketId = std::uint64_t;

struct Ticket {
  TicketId Id = 0;
  bool LongLane = false;
  Common::SteadyTime Deadline;
  std::string Caller;
  std::string Kind;
  // Set by the queue.
  Common::SteadyTime Arrived = {};
  // 0 is served first.
  int Priority = 0;
  // Until then the answer is worth most.
  Common::SteadyTime Target = {};
  // The whole time that its kind has to be in time; 0 when it isn't stated.
  Common::Micros TargetLength = Common::Micros(0);
  // A longer wait than this is refused at once.
  std::optional<Common::Micros> WaitLimit = {};
};

struct RunningCall {
  Ticket Admitted;
  Common::SteadyTime StartedAt;
  // The calls that held slots when it began, itself included.
  int Beside = 1;
};

// The slots of a backend server and the calls that hold them.
struct SlotUse {
  int Slots = 0;
  const std::unordered_map<TicketId, RunningCall> &Running;

  bool hasFreeSlot() const {
    return Running.size() < static_cast<std::size_t>(Slots);
  }
};

// The wait for a slot that a call has to expect, and what it comes from.
struct WaitEstimate {
  Common::Micros Wait{0};
  // Waiting calls that go before it.
  int Ahead = 0;
  // Slots that those ahead and the call itself are reckoned to get.
  double Slots = 0;
  // What calls of its kind hold a slot for; 0 until that is known.
  Common::Micros UsualTime{0};
};

// Actions that the decision asks of the service around it.
struct RunCall {
  TicketId Id = 0;
};
struct RefuseCall {
  TicketId Id = 0;
  Common::ResultCode Code = Common::ResultCode::QueueFull;
  // None when nothing was reckoned for it.
  std::optional<WaitEstimate> Reckoned = {};
};
using AdmissionAction = std::variant<RunCall, RefuseCall>;
using AdmissionActions = std::vector<AdmissionAction>;

// How a call left its slot.
enum class Ending {
  Answered,
  // Cancelled, or without an answer until its deadline.
  CutOff,
  // The backend server shed it or could not be reached.
  NotRun,
};

} // namespace Admission
