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

struct ClaimLimits {
  // Limits the calls that wait for a decision.
  std::size_t MaxWaiting = 4096;
  // If no decision arrives within this time, the claim is sent to the next
  // batcher.
  Common::Micros ResendDelay{300'000};
  // The number of batchers that a claim is sent to in turn.
  std::size_t RankCount = 3;
  // How long an abandoned claim is remembered, because it may still be appended
  // and win.
  Common::Micros AbandonedRetention{15'000'000};
};

// Actions that the owner of a ClaimClient has to carry out.
struct SendClaim {
  // The rank of the batcher to send the claim to.
  std::size_t Rank = 0;
  Claim Requested;
  Common::Micros Remaining{0};
};
// The claim was won: the call, and no other call with its key, may run.
struct AdmitCall {
  Routing::CallId Call = 0;
};
struct RefuseCall {
  Routing::CallId Call = 0;
  Common::ResultCode Code = Common::ResultCode::ClaimUnavailable;
};
// Answers the call with the outcome that was recorded for its key.
struct ReplayOutcome {
  Routing::CallId Call = 0;
  Outcome Recorded;
};
struct SendOutcome {
  // The rank of the batcher that the claim was last sent to.
  std::size_t Rank = 0;
  Outcome Content;
};
using ClaimAction =
    std::variant<SendClaim, AdmitCall, RefuseCall, ReplayOutcome, SendOutcome>;
using ClaimActions = std::vector<ClaimAction>;

// The caller side of claims. Sends the claim of each call to one batcher after
// another until a batcher has read it back from the log. Admits each call at
// most once, and decides every call by its deadline.
class ClaimClient {
public:
  explicit ClaimClient(ClaimLimits Limits) : Limits(Limits) {}

  ClaimActions begin(Routing::CallId Call, Claim Requested,
                     Common::SteadyTime Deadline, Common::SteadyTime Now);
  ClaimActions onDecision(const ClaimDecision &Decision,
                          Common::SteadyTime Now);
  // Handles the end of a call that was admitted. Key and Holder of the outcome
  // are filled in here.
  ClaimActions onCallEnded(Routing::CallId Call, Outcome Result);
  // Sends all undecided claims again at once, because the batchers or their
  // addresses have changed.
  ClaimActions resendAll(Common::SteadyTime Now);
  ClaimActions tick(Common::SteadyTime Now);
  std::optional<Common::SteadyTime> nextDue() const;
  std::size_t waitingCalls() const { return Waiting.size(); }
  // Writes the whole state. Equal states produce equal text.
  void describe(std::ostream &Out) const;

private:
  struct WaitingCall {
    Routing::CallId Call = 0;
    Claim Requested;
    Common::SteadyTime Deadline;
    // The number of times that the claim was sent, and the number of replies
    // that a batcher is not ready. resendAll() resets both.
    std::size_t SendCount = 0;
    std::size_t NotReadyCount = 0;
    // The time of the next resend, or the deadline if that is earlier.
    Common::SteadyTime ResendAt;
    // The result of the call if no decision arrives by its deadline.
    Common::ResultCode TimeoutCode = Common::ResultCode::ClaimUnavailable;
  };
  // The claim of an admitted call, or an abandoned claim.
  struct TrackedClaim {
    Claim Requested;
    std::size_t Rank = 0;
  };

  std::size_t lastRank(const WaitingCall &Call) const;
  // Sends the claim to the next batcher.
  SendClaim send(WaitingCall &Call, Common::SteadyTime Now);
  // Removes the call and adds the last action for it.
  void finish(const HolderId &Holder, ClaimAction FinalAction,
              ClaimActions &Actions);
  // Remembers the claim of a call that ends without a decision. If the claim
  // still wins, its outcome is recorded as not run.
  void abandon(const WaitingCall &Call, Common::SteadyTime Now);

  ClaimLimits Limits;
  std::unordered_map<HolderId, WaitingCall> Waiting;
  // The waiting calls by ResendAt.
  std::set<std::pair<Common::SteadyTime, HolderId>> ResendTimes;
  // Admitted calls that have not ended.
  std::unordered_map<Routing::CallId, TrackedClaim> Running;
  std::unordered_map<HolderId, TrackedClaim> Abandoned;
  // Abandoned claims by the time at which they are forgotten.
  std::multimap<Common::SteadyTime, HolderId> AbandonedUntil;
};

} // namespace Once
