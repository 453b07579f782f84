#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "Once/Claim.h"
#include "Routing/Call.h"

namespace Once {

struct GateLimits {
  std::size_t MaxWaiting = 4096;
  // After this time without a verdict the claim goes to the next batcher.
  Common::Micros ResendDelay{300'000};
  // The ranks that are asked in turn.
  std::size_t Ranks = 3;
  // How long a call that gave up is remembered, for a claim that lands late.
  Common::Micros LateLimit{15'000'000};
};

// Actions that the decision asks of the service around it.
struct SendClaim {
  // Which of the ranked batchers to ask.
  std::size_t Rank = 0;
  Claim Wanted;
  Common::Micros Remaining{0};
};
// The call, and none other, may run.
struct LetRun {
  Routing::CallId Call = 0;
};
struct RefuseClaimed {
  Routing::CallId Call = 0;
  Common::ResultCode Code = Common::ResultCode::ClaimUnavailable;
};
// The call gets the answer that was recorded for its key.
struct GiveRecorded {
  Routing::CallId Call = 0;
  Outcome Ended;
};
struct SendOutcome {
  // The batcher that was asked last for the claim.
  std::size_t Rank = 0;
  Outcome Ended;
};
using GateAction =
    std::variant<SendClaim, LetRun, RefuseClaimed, GiveRecorded, SendOutcome>;
using GateActions = std::vector<GateAction>;

// The near side of claims: asks batchers until one has read the claim back,
// lets the call run at most once, and gives every call an answer by its
// deadline.
class ClaimGate {
public:
  explicit ClaimGate(GateLimits Limits) : Limits(Limits) {}

  GateActions begin(Routing::CallId Call, Claim Wanted,
                    Common::SteadyTime Deadline, Common::SteadyTime Now);
  GateActions decided(const Verdict &Told, Common::SteadyTime Now);
  // A call that LetRun named has ended; Key and Holder are filled in here.
  GateActions ended(Routing::CallId Call, Outcome Ended);
  // The batchers or the ways to them changed: asks again at once.
  GateActions resendAll(Common::SteadyTime Now);
  GateActions tick(Common::SteadyTime Now);
  std::optional<Common::SteadyTime> nextDue() const;
  std::size_t waitingCalls() const { return Waiting.size(); }
  // Writes the whole state; equal states give equal text.
  void describe(std::ostream &Out) const;

private:
  struct WaitingCall {
    Routing::CallId Call = 0;
    Claim Wanted;
    Common::SteadyTime Deadline;
    std::size_t Asked = 0;
    std::size_t NotYetKnown = 0;
    Common::SteadyTime ResendAt;
    // What to answer when nothing more is heard.
    Common::ResultCode AtDeadline = Common::ResultCode::ClaimUnavailable;
  };
  // A call that runs, or one that ended here before its claim was decided.
  struct Decided {
    Claim Held;
    std::size_t Rank = 0;
  };

  std::size_t lastRank(const WaitingCall &Each) const;
  SendClaim send(WaitingCall &Each, Common::SteadyTime Now);
  void finish(const HolderId &Holder, GateAction Last, GateActions &Actions);
  void giveUp(const WaitingCall &Each, Common::SteadyTime Now);

  GateLimits Limits;
  std::unordered_map<HolderId, WaitingCall> Waiting;
  std::set<std::pair<Common::SteadyTime, HolderId>> Due;
  std::unordered_map<Routing::CallId, Decided> Running;
  std::unordered_map<HolderId, Decided> Late;
  std::multimap<Common::SteadyTime, HolderId> LateEnds;
};

} // namespace Once
