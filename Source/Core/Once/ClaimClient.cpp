#include "Once/ClaimClient.h"

#include <algorithm>

namespace Once {

using Common::ResultCode;
using Common::SteadyTime;

namespace {

Outcome makeNotRunOutcome(const Claim &Requested) {
  Outcome Result;
  Result.Key = Requested.Key;
  Result.Holder = Requested.Holder;
  Result.Result = ResultCode::ClaimUnavailable;
  return Result;
}

} // namespace

ClaimActions ClaimClient::begin(Routing::CallId Call, Claim Requested,
                                SteadyTime Deadline, SteadyTime Now) {
  if (Waiting.size() >= Limits.MaxWaiting || Deadline <= Now)
    return {RefuseCall{Call, ResultCode::ClaimUnavailable}};
  const HolderId Holder = Requested.Holder;
  WaitingCall &Added = Waiting[Holder];
  Added.Call = Call;
  Added.Requested = std::move(Requested);
  Added.Deadline = Deadline;
  return {send(Added, Now)};
}

std::size_t ClaimClient::lastRank(const WaitingCall &Call) const {
  return (Call.SendCount - 1) % Limits.RankCount;
}

SendClaim ClaimClient::send(WaitingCall &Call, SteadyTime Now) {
  ResendTimes.erase({Call.ResendAt, Call.Requested.Holder});
  Call.ResendAt = std::min(Now + Limits.ResendDelay, Call.Deadline);
  ResendTimes.emplace(Call.ResendAt, Call.Requested.Holder);
  SendClaim Result;
  Result.Rank = Call.SendCount++ % Limits.RankCount;
  Result.Requested = Call.Requested;
  Result.Remaining =
      std::chrono::duration_cast<Common::Micros>(Call.Deadline - Now);
  return Result;
}

void ClaimClient::finish(const HolderId &Holder, ClaimAction FinalAction,
                         ClaimActions &Actions) {
  const auto Found = Waiting.extract(Holder);
  ResendTimes.erase({Found.mapped().ResendAt, Holder});
  Actions.push_back(std::move(FinalAction));
}

void ClaimClient::abandon(const WaitingCall &Call, SteadyTime Now) {
  const SteadyTime ForgetAt = Now + Limits.AbandonedRetention;
  Abandoned.emplace(Call.Requested.Holder,
                    TrackedClaim{Call.Requested, lastRank(Call)});
  AbandonedUntil.emplace(ForgetAt, Call.Requested.Holder);
}

ClaimActions ClaimClient::onDecision(const ClaimDecision &Decision,
                                     SteadyTime Now) {
  ClaimActions Actions;
  const auto Found = Waiting.find(Decision.Holder);
  if (Found == Waiting.end()) {
    const auto Remembered = Abandoned.find(Decision.Holder);
    // The outcome may be recorded as not run only if this client abandoned the
    // call before it was admitted.
    if (Decision.Kind == DecisionKind::Won && Remembered != Abandoned.end()) {
      Actions.push_back(
          SendOutcome{Remembered->second.Rank,
                      makeNotRunOutcome(Remembered->second.Requested)});
      Abandoned.erase(Remembered);
    }
    return Actions;
  }
  WaitingCall &Undecided = Found->second;
  const Routing::CallId Call = Undecided.Call;
  switch (Decision.Kind) {
  case DecisionKind::Won:
    if (Now >= Undecided.Deadline) {
      Actions.push_back(SendOutcome{lastRank(Undecided),
                                    makeNotRunOutcome(Undecided.Requested)});
      finish(Decision.Holder, RefuseCall{Call, ResultCode::ClaimUnavailable},
             Actions);
      break;
    }
    Running.emplace(Call,
                    TrackedClaim{Undecided.Requested, lastRank(Undecided)});
    finish(Decision.Holder, AdmitCall{Call}, Actions);
    break;
  case DecisionKind::HeldByOther:
    Undecided.TimeoutCode = ResultCode::DuplicateOfClaimed;
    break;
  case DecisionKind::Completed:
    if (Decision.Recorded)
      finish(Decision.Holder, ReplayOutcome{Call, *Decision.Recorded}, Actions);
    break;
  case DecisionKind::FingerprintMismatch:
    finish(Decision.Holder,
           RefuseCall{Call, ResultCode::KeyReusedWithOtherBody}, Actions);
    break;
  case DecisionKind::Expired:
    finish(Decision.Holder, RefuseCall{Call, ResultCode::KeyExpired}, Actions);
    break;
  case DecisionKind::NotReady:
    ++Undecided.NotReadyCount;
    break;
  case DecisionKind::Refused:
    if (Undecided.TimeoutCode == ResultCode::DuplicateOfClaimed)
      break;
    abandon(Undecided, Now);
    finish(Decision.Holder, RefuseCall{Call, ResultCode::ClaimUnavailable},
           Actions);
    break;
  }
  return Actions;
}

ClaimActions ClaimClient::onCallEnded(Routing::CallId Call, Outcome Result) {
  const auto Found = Running.extract(Call);
  if (Found.empty())
    return {};
  Result.Key = Found.mapped().Requested.Key;
  Result.Holder = Found.mapped().Requested.Holder;
  return {SendOutcome{Found.mapped().Rank, std::move(Result)}};
}

ClaimActions ClaimClient::resendAll(SteadyTime Now) {
  ClaimActions Actions;
  for (auto &[Holder, Undecided] : Waiting) {
    if (Undecided.Deadline <= Now)
      continue;
    Undecided.SendCount = Undecided.NotReadyCount = 0;
    Actions.push_back(send(Undecided, Now));
  }
  return Actions;
}

ClaimActions ClaimClient::tick(SteadyTime Now) {
  ClaimActions Actions;
  while (!AbandonedUntil.empty() && AbandonedUntil.begin()->first <= Now) {
    Abandoned.erase(AbandonedUntil.begin()->second);
    AbandonedUntil.erase(AbandonedUntil.begin());
  }
  while (!ResendTimes.empty() && ResendTimes.begin()->first <= Now) {
    const HolderId Holder = ResendTimes.begin()->second;
    WaitingCall &Undecided = Waiting.at(Holder);
    if (Undecided.Deadline > Now) {
      Actions.push_back(send(Undecided, Now));
      continue;
    }
    RefuseCall Refusal{Undecided.Call, Undecided.TimeoutCode};
    const bool NoneReady = Undecided.NotReadyCount >= Undecided.SendCount;
    if (NoneReady && Undecided.TimeoutCode == ResultCode::ClaimUnavailable)
      Refusal.Code = ResultCode::ClaimsNotYetKnown;
    if (Undecided.TimeoutCode != ResultCode::DuplicateOfClaimed)
      abandon(Undecided, Now);
    finish(Holder, Refusal, Actions);
  }
  return Actions;
}

void ClaimClient::describe(std::ostream &Out) const {
  const std::map<HolderId, WaitingCall> Ordered(Waiting.begin(), Waiting.end());
  for (const auto &[Holder, Undecided] : Ordered)
    Out << ' ' << Holder << Undecided.SendCount << ' '
        << Undecided.NotReadyCount << ' '
        << Undecided.ResendAt.time_since_epoch().count() << ' '
        << Common::resultCodeNumber(Undecided.TimeoutCode);
  const std::map<Routing::CallId, TrackedClaim> OrderedRunning(Running.begin(),
                                                               Running.end());
  for (const auto &[Call, Tracked] : OrderedRunning)
    Out << " runs " << Call << Tracked.Requested.Holder << Tracked.Rank;
  const std::map<HolderId, TrackedClaim> OrderedAbandoned(Abandoned.begin(),
                                                          Abandoned.end());
  for (const auto &[Holder, Tracked] : OrderedAbandoned)
    Out << " late " << Holder << Tracked.Rank;
}

std::optional<SteadyTime> ClaimClient::nextDue() const {
  std::optional<SteadyTime> Next;
  if (!ResendTimes.empty())
    Next = ResendTimes.begin()->first;
  if (!AbandonedUntil.empty())
    Next = Next ? std::min(*Next, AbandonedUntil.begin()->first)
                : AbandonedUntil.begin()->first;
  return Next;
}

} // namespace Once
