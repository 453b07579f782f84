#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "Once/ClaimIndex.h"

namespace Once {

struct BatcherLimits {
  KeyWindow Window;
  std::size_t MaxClaimsInBatch = 100;
  std::size_t MaxOutcomesInBatch = 100;
  // Limits the claims that wait for a decision, and separately the outcomes
  // that wait to be appended.
  std::size_t MaxPending = 4096;
  // Claims are refused while the index holds this many.
  std::size_t MaxIndexedClaims = 60'000;
  // Limits the total size of the response bodies in the index.
  std::size_t MaxResponseBytes = 32 << 20;
  // Minimum time between two appends.
  Common::Micros AppendInterval{25'000};
  // Minimum time between a failed append and the next one.
  Common::Micros RetryDelay{100'000};
  // How long outcomes wait to be appended in one record with claims.
  Common::Micros OutcomeDelay{100'000};
  // How long after its deadline an appended claim still waits to be read back.
  Common::Micros RetentionAfterDeadline{10'000'000};
};

// Specifies what confirms that an appended claim has won.
template <class P>
concept ClaimPolicy = requires {
  { P::TrustAppendResponse } -> std::convertible_to<bool>;
};

// A claim wins only after it has been read back from the log.
struct ReadBackPolicy {
  static constexpr bool TrustAppendResponse = false;
};

// A claim that a node sent to the batcher. Origin identifies the node that the
// decision is sent to.
struct ClaimRequest {
  Claim Requested;
  Common::SteadyTime Deadline;
  std::uint64_t Origin = 0;
};

// Actions that the owner of a ClaimBatcher has to carry out.
struct AppendBatch {
  Batch Content;
};
struct SendDecision {
  std::uint64_t Origin = 0;
  ClaimDecision Decision;
};
using BatcherAction = std::variant<AppendBatch, SendDecision>;
using BatcherActions = std::vector<BatcherAction>;

// Batches the claims and outcomes of a data centre into log records, and
// decides claims by the records that it reads back. Several batchers may be
// active at the same time, because only the order of the records in the log
// decides.
template <ClaimPolicy Policy = ReadBackPolicy> class ClaimBatcher {
public:
  // Name is the prefix of the batch ids and has to be unique among all
  // batchers.
  ClaimBatcher(std::string Name, BatcherLimits Limits)
      : Name(std::move(Name)), Limits(Limits),
        Index(Limits.Window, Limits.MaxResponseBytes) {}

  BatcherActions submitClaim(const ClaimRequest &Request,
                             Common::SteadyTime Now);
  BatcherActions submitOutcome(Outcome Result, Common::SteadyTime Now);
  BatcherActions onAppendFinished(const std::string &BatchId,
                                  Common::ResultCode Code,
                                  Common::SteadyTime Now);
  // Handles a record that was read from the log. Records have to be passed in
  // the order of the log, starting with the oldest one.
  BatcherActions onRecordRead(Common::WallTime AppendedAt, const Batch &Content,
                              Common::SteadyTime Now);
  // To be called when all records of the log have been read.
  void markReady() { Ready = true; }
  // Discards all claims of the window, for example when records expired before
  // they were read. The window has to be read again.
  void reset();
  // Removes claims that are past their deadlines and appends the next batch
  // when it is due.
  BatcherActions tick(Common::SteadyTime Now);
  // The time at which tick() has to be called next, if any.
  std::optional<Common::SteadyTime> nextDue() const;

  bool isReady() const { return Ready; }
  std::size_t indexedClaims() const { return Index.size(); }
  std::size_t pendingClaims() const { return Pending.size(); }
  // Writes the whole state. Equal states produce equal text.
  void describe(std::ostream &Out) const;

private:
  struct PendingClaim {
    ClaimRequest Request;
    // Whether the claim still has to be appended. Otherwise its entry in
    // ClaimsToAppend is skipped.
    bool NeedsAppend = false;
    bool WasAppended = false;
  };

  ClaimDecision decide(const Claim &Requested,
                       const ClaimIndex::Entry *Existing) const;
  void sendDecision(const ClaimRequest &Request, ClaimDecision Decision,
                    BatcherActions &Actions);
  void resolveKey(const std::string &Key, BatcherActions &Actions);
  void removePending(const HolderId &Holder);
  void appendIfDue(Common::SteadyTime Now, BatcherActions &Actions);
  void requeue(Batch Failed);

  std::string Name;
  BatcherLimits Limits;
  ClaimIndex Index;
  bool Ready = false;
  std::unordered_map<HolderId, PendingClaim> Pending;
  std::multimap<std::string, HolderId> PendingByKey;
  std::multimap<Common::SteadyTime, HolderId> Timeouts;
  std::deque<HolderId> ClaimsToAppend;
  std::deque<Outcome> OutcomesToAppend;
  // The batch whose append has not finished and which has not been read back.
  std::optional<Batch> InFlight;
  Common::SteadyTime NextAppendAt;
  Common::SteadyTime OutcomesDueAt;
  std::uint64_t NextBatchNumber = 1;
};

template <ClaimPolicy Policy>
BatcherActions ClaimBatcher<Policy>::submitClaim(const ClaimRequest &Request,
                                                 Common::SteadyTime Now) {
  BatcherActions Actions;
  const HolderId &Holder = Request.Requested.Holder;
  if (!Ready) {
    sendDecision(Request, {Holder, DecisionKind::NotReady, {}}, Actions);
    return Actions;
  }
  const ClaimIndex::Entry *Existing = Index.find(Request.Requested.Key);
  const auto Repeated = Pending.find(Holder);
  if (Repeated != Pending.end()) {
    Repeated->second.Request.Origin = Request.Origin;
    if (Existing)
      sendDecision(Request, decide(Request.Requested, Existing), Actions);
    return Actions;
  }
  bool MayAppend = true;
  if (Existing) {
    const ClaimDecision Decision = decide(Request.Requested, Existing);
    sendDecision(Request, Decision, Actions);
    if (Decision.Kind != DecisionKind::HeldByOther)
      return Actions;
    MayAppend = false; // The claim only waits for the outcome.
  }
  if (Pending.size() >= Limits.MaxPending ||
      (MayAppend && Index.size() >= Limits.MaxIndexedClaims)) {
    if (MayAppend)
      sendDecision(Request, {Holder, DecisionKind::Refused, {}}, Actions);
    return Actions;
  }
  Pending.emplace(Holder, PendingClaim{Request, MayAppend, false});
  PendingByKey.emplace(Request.Requested.Key, Holder);
  Timeouts.emplace(Request.Deadline, Holder);
  if (MayAppend)
    ClaimsToAppend.push_back(Holder);
  appendIfDue(Now, Actions);
  return Actions;
}

template <ClaimPolicy Policy>
BatcherActions ClaimBatcher<Policy>::submitOutcome(Outcome Result,
                                                   Common::SteadyTime Now) {
  BatcherActions Actions;
  if (OutcomesToAppend.empty())
    OutcomesDueAt = Now + Limits.OutcomeDelay;
  // An outcome that exceeds the limit is dropped. Its key stays claimed, so no
  // other call can run under it.
  if (OutcomesToAppend.size() < Limits.MaxPending)
    OutcomesToAppend.push_back(std::move(Result));
  appendIfDue(Now, Actions);
  return Actions;
}

template <ClaimPolicy Policy>
BatcherActions
ClaimBatcher<Policy>::onAppendFinished(const std::string &BatchId,
                                       Common::ResultCode Code,
                                       Common::SteadyTime Now) {
  BatcherActions Actions;
  if (!InFlight || InFlight->Id != BatchId)
    return Actions;
  Batch Finished = std::move(*InFlight);
  InFlight.reset();
  if constexpr (Policy::TrustAppendResponse) {
    if (Code == Common::ResultCode::Ok)
      for (const Claim &Appended : Finished.Claims)
        if (const auto Found = Pending.find(Appended.Holder);
            Found != Pending.end())
          sendDecision(Found->second.Request,
                       {Appended.Holder, DecisionKind::Won, {}}, Actions);
  }
  if (Code != Common::ResultCode::Ok) {
    requeue(std::move(Finished));
    NextAppendAt = std::max(NextAppendAt, Now + Limits.RetryDelay);
  }
  appendIfDue(Now, Actions);
  return Actions;
}

template <ClaimPolicy Policy>
BatcherActions ClaimBatcher<Policy>::onRecordRead(Common::WallTime AppendedAt,
                                                  const Batch &Content,
                                                  Common::SteadyTime Now) {
  BatcherActions Actions;
  Index.apply(AppendedAt, Content);
  // The append has succeeded even if its response was lost, so the next batch
  // need not wait for the response.
  if (InFlight && InFlight->Id == Content.Id)
    InFlight.reset();
  for (const Claim &Candidate : Content.Claims) {
    resolveKey(Candidate.Key, Actions);
    const auto Found = Pending.find(Candidate.Holder);
    if (Found != Pending.end() && !Index.find(Candidate.Key)) {
      sendDecision(Found->second.Request,
                   {Candidate.Holder, DecisionKind::Expired, {}}, Actions);
      removePending(Candidate.Holder);
    }
  }
  for (const Outcome &Result : Content.Outcomes)
    resolveKey(Result.Key, Actions);
  appendIfDue(Now, Actions);
  return Actions;
}

template <ClaimPolicy Policy>
void ClaimBatcher<Policy>::describe(std::ostream &Out) const {
  Index.describe(Out);
  Out << " ready " << Ready << " open";
  const std::map<HolderId, PendingClaim> Ordered(Pending.begin(),
                                                 Pending.end());
  for (const auto &[Holder, Waiting] : Ordered)
    Out << ' ' << Holder << Waiting.Request.Origin << Waiting.NeedsAppend
        << Waiting.WasAppended
        << Waiting.Request.Deadline.time_since_epoch().count();
  Out << " ends";
  for (const auto &[At, Holder] : Timeouts)
    Out << ' ' << At.time_since_epoch().count() << Holder;
  Out << " append";
  for (const HolderId &Holder : ClaimsToAppend)
    Out << ' ' << Holder;
  for (const Outcome &Result : OutcomesToAppend)
    Out << ' ' << Result.Holder << Common::resultCodeNumber(Result.Result);
  Out << " sent " << (InFlight ? InFlight->Id : "") << " next "
      << NextBatchNumber << ' ' << NextAppendAt.time_since_epoch().count()
      << ' ' << OutcomesDueAt.time_since_epoch().count();
}

template <ClaimPolicy Policy> void ClaimBatcher<Policy>::reset() {
  Index.clear();
  Ready = false;
}

template <ClaimPolicy Policy>
BatcherActions ClaimBatcher<Policy>::tick(Common::SteadyTime Now) {
  BatcherActions Actions;
  while (!Timeouts.empty() && Timeouts.begin()->first <= Now) {
    const HolderId Holder = Timeouts.begin()->second;
    Timeouts.erase(Timeouts.begin());
    const auto Found = Pending.find(Holder);
    if (Found == Pending.end())
      continue;
    const Common::SteadyTime RetainUntil =
        Found->second.Request.Deadline + Limits.RetentionAfterDeadline;
    Found->second.NeedsAppend = false;
    if (Found->second.WasAppended && Now < RetainUntil)
      Timeouts.emplace(RetainUntil, Holder);
    else
      removePending(Holder);
  }
  appendIfDue(Now, Actions);
  return Actions;
}

template <ClaimPolicy Policy>
std::optional<Common::SteadyTime> ClaimBatcher<Policy>::nextDue() const {
  std::optional<Common::SteadyTime> Due;
  if (!Timeouts.empty())
    Due = Timeouts.begin()->first;
  if (InFlight || (ClaimsToAppend.empty() && OutcomesToAppend.empty()))
    return Due;
  const Common::SteadyTime AppendAt =
      ClaimsToAppend.empty() ? std::max(NextAppendAt, OutcomesDueAt)
                             : NextAppendAt;
  return Due ? std::min(*Due, AppendAt) : AppendAt;
}

template <ClaimPolicy Policy>
ClaimDecision
ClaimBatcher<Policy>::decide(const Claim &Requested,
                             const ClaimIndex::Entry *Existing) const {
  ClaimDecision Result{Requested.Holder, DecisionKind::HeldByOther, {}};
  if (Existing->Fingerprint != Requested.Fingerprint) {
    Result.Kind = DecisionKind::FingerprintMismatch;
  } else if (Existing->Recorded) {
    Result.Kind = DecisionKind::Completed;
    Result.Recorded = Existing->Recorded;
  } else if (Existing->Holder == Requested.Holder) {
    Result.Kind = DecisionKind::Won;
  }
  return Result;
}

template <ClaimPolicy Policy>
void ClaimBatcher<Policy>::sendDecision(const ClaimRequest &Request,
                                        ClaimDecision Decision,
                                        BatcherActions &Actions) {
  Actions.push_back(SendDecision{Request.Origin, std::move(Decision)});
}

template <ClaimPolicy Policy>
void ClaimBatcher<Policy>::resolveKey(const std::string &Key,
                                      BatcherActions &Actions) {
  const ClaimIndex::Entry *Existing = Index.find(Key);
  if (!Existing)
    return;
  std::vector<HolderId> Resolved;
  const auto [First, Last] = PendingByKey.equal_range(Key);
  for (auto It = First; It != Last; ++It) {
    PendingClaim &Waiting = Pending.at(It->second);
    Waiting.NeedsAppend = false;
    const ClaimRequest &Request = Waiting.Request;
    const ClaimDecision Decision = decide(Request.Requested, Existing);
    sendDecision(Request, Decision, Actions);
    if (Decision.Kind != DecisionKind::HeldByOther)
      Resolved.push_back(It->second);
  }
  for (const HolderId &Holder : Resolved)
    removePending(Holder);
}

template <ClaimPolicy Policy>
void ClaimBatcher<Policy>::removePending(const HolderId &Holder) {
  const auto Found = Pending.find(Holder);
  if (Found == Pending.end())
    return;
  const auto [First, Last] =
      PendingByKey.equal_range(Found->second.Request.Requested.Key);
  for (auto It = First; It != Last; ++It)
    if (It->second == Holder) {
      PendingByKey.erase(It);
      break;
    }
  Pending.erase(Found);
}

template <ClaimPolicy Policy>
void ClaimBatcher<Policy>::appendIfDue(Common::SteadyTime Now,
                                       BatcherActions &Actions) {
  if (InFlight || Now < NextAppendAt)
    return;
  Batch Content;
  while (!ClaimsToAppend.empty() &&
         Content.Claims.size() < Limits.MaxClaimsInBatch) {
    const auto Found = Pending.find(ClaimsToAppend.front());
    ClaimsToAppend.pop_front();
    if (Found == Pending.end())
      continue;
    PendingClaim &Next = Found->second;
    // After a pause of the process, queued claims may be past their deadlines
    // and nobody waits for them any more.
    if (!std::exchange(Next.NeedsAppend, false) || Next.Request.Deadline <= Now)
      continue;
    Next.WasAppended = true;
    Content.Claims.push_back(Next.Request.Requested);
  }
  // Delays an append of outcomes alone, because claims that arrive during an
  // append have to wait until it has finished.
  if (Content.Claims.empty() && Now < OutcomesDueAt)
    return;
  while (!OutcomesToAppend.empty() &&
         Content.Outcomes.size() < Limits.MaxOutcomesInBatch) {
    Content.Outcomes.push_back(std::move(OutcomesToAppend.front()));
    OutcomesToAppend.pop_front();
  }
  if (Content.Claims.empty() && Content.Outcomes.empty())
    return;
  Content.Id = Name + "/" + std::to_string(NextBatchNumber++);
  InFlight = Content;
  NextAppendAt = Now + Limits.AppendInterval;
  Actions.push_back(AppendBatch{std::move(Content)});
}

template <ClaimPolicy Policy> void ClaimBatcher<Policy>::requeue(Batch Failed) {
  // The failed append may have reached the log. Appending a claim twice is
  // harmless, because only the first claim of a key counts.
  for (const Claim &Candidate : Failed.Claims)
    if (const auto Found = Pending.find(Candidate.Holder);
        Found != Pending.end() && !Index.find(Candidate.Key)) {
      Found->second.NeedsAppend = true;
      ClaimsToAppend.push_back(Candidate.Holder);
    }
  for (Outcome &Result : Failed.Outcomes)
    if (OutcomesToAppend.size() < Limits.MaxPending)
      OutcomesToAppend.push_back(std::move(Result));
}

} // namespace Once
