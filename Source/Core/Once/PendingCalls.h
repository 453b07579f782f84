#pragma once

#include <optional>
#include <unordered_map>
#include <utility>

#include "Common/Time.h"
#include "Routing/Call.h"

namespace Once {

// Calls that wait for their claims at the front. A call leaves once, and may
// run only before its deadline, however late its claim is decided.
template <class Start> class PendingCalls {
public:
  void hold(Routing::CallId Call, Start Held, Common::SteadyTime Deadline) {
    Calls.emplace(Call, Waiting{std::move(Held), Deadline});
  }

  struct Released {
    Start Held;
    Common::SteadyTime Deadline;
    bool MayRun = false;
  };
  // Empty when the call is not here.
  std::optional<Released> release(Routing::CallId Call, bool ClaimWon,
                                  Common::SteadyTime Now) {
    auto Found = Calls.extract(Call);
    if (Found.empty())
      return std::nullopt;
    Waiting &Each = Found.mapped();
    return Released{std::move(Each.Held), Each.Deadline,
                    ClaimWon && Now < Each.Deadline};
  }

  std::size_t size() const { return Calls.size(); }

private:
  struct Waiting {
    Start Held;
    Common::SteadyTime Deadline;
  };
  std::unordered_map<Routing::CallId, Waiting> Calls;
};

} // namespace Once
