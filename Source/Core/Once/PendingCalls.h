#pragma once

#include <optional>
#include <unordered_map>
#include <utility>

#include "Common/Time.h"
#include "Routing/Call.h"

namespace Once {

// Calls that wait at the ingress for the decisions on their claims. Each call
// is released at most once, and may run only before its deadline, no matter
// when its claim is decided.
template <class Start> class PendingCalls {
public:
  void hold(Routing::CallId Call, Start Held, Common::SteadyTime Deadline) {
    Calls.emplace(Call, WaitingCall{std::move(Held), Deadline});
  }

  struct Released {
    Start Held;
    Common::SteadyTime Deadline;
    bool MayRun = false;
  };
  // Removes and returns the call, or returns nothing if it is not waiting.
  std::optional<Released> release(Routing::CallId Call, bool ClaimWon,
                                  Common::SteadyTime Now) {
    auto Found = Calls.extract(Call);
    if (Found.empty())
      return std::nullopt;
    WaitingCall &Entry = Found.mapped();
    return Released{std::move(Entry.Held), Entry.Deadline,
                    ClaimWon && Now < Entry.Deadline};
  }

  std::size_t size() const { return Calls.size(); }

private:
  struct WaitingCall {
    Start Held;
    Common::SteadyTime Deadline;
  };
  std::unordered_map<Routing::CallId, WaitingCall> Calls;
};

} // namespace Once
