#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Common/Time.h"
#include "Routing/Call.h"

namespace Admission {

// Names a call at its far node.
using TicketId = std::uint64_t;

struct Ticket {
  TicketId Id = 0;
  bool LongLane = false;
  Common::SteadyTime Deadline;
  std::string Caller;
};

// Actions that the decision asks of the service around it.
struct RunCall {
  TicketId Id = 0;
};
struct RefuseCall {
  TicketId Id = 0;
  Common::ResultCode Code = Common::ResultCode::QueueFull;
};
using AdmissionAction = std::variant<RunCall, RefuseCall>;
using AdmissionActions = std::vector<AdmissionAction>;

// Admits calls to the exact number of slots of one backend server. A refused
// call certainly did not run: it never left the queue.
class SlotQueue {
public:
  void setSlots(int Value) { Slots = Value; }
  // From now on every new call is refused; those inside go on.
  void close() { Closed = true; }

  AdmissionActions offer(const Ticket &Arrived, Common::SteadyTime Now);
  // A running call ended, or its caller gave up on it.
  AdmissionActions finished(TicketId Id, Common::SteadyTime Now);
  // Takes a waiting call out. False when it runs already or is unknown.
  bool withdraw(TicketId Id);
  // Refuses waiting calls whose deadline has passed.
  AdmissionActions expire(Common::SteadyTime Now);

  Routing::ServerLoad load() const;
  bool isIdle() const { return Running.empty() && Waiting.empty(); }

private:
  void runWaiting(Common::SteadyTime Now, AdmissionActions &Actions);

  int Slots = 0;
  bool Closed = false;
  std::deque<Ticket> Waiting;
  std::unordered_map<TicketId, Ticket> Running;
};

} // namespace Admission
