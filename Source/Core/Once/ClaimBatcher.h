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
  // Claims that wait here, and outcomes that wait to be appended.
  std::size_t MaxOpen = 4096;
  // Claims of the window in memory.
  std::size_t MaxKnown = 60'000;
  std::size_t AnswerLimit = 32 << 20;
  Common::Micros AppendInterval{25'000};
  Common::Micros RetryDelay{100'000};
  // How long outcomes wait for claims to travel with.
  Common::Micros OutcomeDelay{100'000};
  // How long a claim that was appended is still looked for past its deadline.
  Common::Micros LateLimit{10'000'000};
};

// Tells when a claim may count as won.
template <class P>
concept WinRule = requires {
  { P::TrustAppendAnswer } -> std::convertible_to<bool>;
};

// A claim counts only once it was read back from the log.
struct ReadBackRule {
  static constexpr bool TrustAppendAnswer = false;
};

// A claim as a node asked for it. Origin tells where the verdict goes.
struct AskedClaim {
  Claim Wanted;
  Common::SteadyTime Deadline;
  std::uint64_t Origin = 0;
};

// Actions that the decision asks of the service around it.
struct AppendBatch {
  Batch Content;
};
struct TellVerdict {
  std::uint64_t Origin = 0;
  Verdict Told;
};
using BatcherAction = std::variant<AppendBatch, TellVerdict>;
using BatcherActions = std::vector<BatcherAction>;

// Gathers the claims and outcomes of a data centre into records of the log and
// judges claims by what it reads from there. Several may work side by side:
// only the order of the log decides.
template <WinRule Rule = ReadBackRule> class ClaimBatcher {
public:
  // Name begins the ids of batches and must be unique among all batchers.
  ClaimBatcher(std::string Name, BatcherLimits Limits)
      : Name(std::move(Name)), Limits(Limits),
        Index(Limits.Window, Limits.AnswerLimit) {}

  BatcherActions ask(const AskedClaim &Asked, Common::SteadyTime Now);
  BatcherActions record(Outcome Ended, Common::SteadyTime Now);
  BatcherActions appendEnded(const std::string &BatchId,
                             Common::ResultCode Code, Common::SteadyTime Now);
  // Records have to come in the order of the log, from its beginning.
  BatcherActions recordRead(Common::WallTime Appended, const Batch &Content,
                            Common::SteadyTime Now);
  // Everything the log had is read.
  void caughtUp() { Ready = true; }
  // Records expired unread: the window has to be read again.
  void historyLost();
  // Drops what is past its deadline and appends what is due.
  BatcherActions tick(Common::SteadyTime Now);
  // When tick has work to do.
  std::optional<Common::SteadyTime> nextDue() const;

  bool isReady() const { return Ready; }
  std::size_t knownClaims() const { return Index.size(); }
  std::size_t openClaims() const { return Open.size(); }
  // Writes the whole state; equal states give equal text.
  void describe(std::ostream &Out) const;

private:
  struct OpenClaim {
    AskedClaim Asked;
    // It is in ToAppend and still has to be appended.
    bool WantsAppend = false;
    bool WasAppended = false;
  };

  Verdict judge(const Claim &Wanted, const ClaimIndex::Entry *Known) const;
  void tell(const AskedClaim &Asked, Verdict Told, BatcherActions &Actions);
  void settleKey(const std::string &Key, BatcherActions &Actions);
  void forget(const HolderId &Holder);
  void pump(Common::SteadyTime Now, BatcherActions &Actions);
  void putBack(Batch Failed);

  std::string Name;
  BatcherLimits Limits;
  ClaimIndex Index;
  bool Ready = false;
  std::unordered_map<HolderId, OpenClaim> Open;
  std::multimap<std::string, HolderId> OpenByKey;
  std::multimap<Common::SteadyTime, HolderId> Ends;
  std::deque<HolderId> ToAppend;
  std::deque<Outcome> OutcomesToAppend;
  // The batch that is neither answered nor read back.
  std::optional<Batch> Sent;
  Common::SteadyTime NextAppendAt;
  Common::SteadyTime OutcomesDueAt;
  std::uint64_t NextBatch = 1;
};

template <WinRule Rule>
BatcherActions ClaimBatcher<Rule>::ask(const AskedClaim &Asked,
                                       Common::SteadyTime Now) {
  BatcherActions Actions;
  const HolderId &Holder = Asked.Wanted.Holder;
  if (!Ready) {
    tell(Asked, {Holder, VerdictKind::NotYetKnown, {}}, Actions);
    return Actions;
  }
  const ClaimIndex::Entry *Known = Index.find(Asked.Wanted.Key);
  const auto Again = Open.find(Holder);
  if (Again != Open.end()) {
    Again->second.Asked.Origin = Asked.Origin;
    if (Known)
      tell(Asked, judge(Asked.Wanted, Known), Actions);
    return Actions;
  }
  bool MayAppend = true;
  if (Known) {
    const Verdict Told = judge(Asked.Wanted, Known);
    tell(Asked, Told, Actions);
    if (Told.Kind != VerdictKind::HeldByOther)
      return Actions;
    MayAppend = false; // It waits for the outcome only.
  }
  if (Open.size() >= Limits.MaxOpen ||
      (MayAppend && Index.size() >= Limits.MaxKnown)) {
    if (MayAppend)
      tell(Asked, {Holder, VerdictKind::Refused, {}}, Actions);
    return Actions;
  }
  Open.emplace(Holder, OpenClaim{Asked, MayAppend, false});
  OpenByKey.emplace(Asked.Wanted.Key, Holder);
  Ends.emplace(Asked.Deadline, Holder);
  if (MayAppend)
    ToAppend.push_back(Holder);
  pump(Now, Actions);
  return Actions;
}

template <WinRule Rule>
BatcherActions ClaimBatcher<Rule>::record(Outcome Ended,
                                          Common::SteadyTime Now) {
  BatcherActions Actions;
  // Without its outcome a key stays claimed, which is safe.
  if (OutcomesToAppend.empty())
    OutcomesDueAt = Now + Limits.OutcomeDelay;
  if (OutcomesToAppend.size() < Limits.MaxOpen)
    OutcomesToAppend.push_back(std::move(Ended));
  pump(Now, Actions);
  return Actions;
}

template <WinRule Rule>
BatcherActions ClaimBatcher<Rule>::appendEnded(const std::string &BatchId,
                                               Common::ResultCode Code,
                                               Common::SteadyTime Now) {
  BatcherActions Actions;
  if (!Sent || Sent->Id != BatchId)
    return Actions;
  Batch Ended = std::move(*Sent);
  Sent.reset();
  if constexpr (Rule::TrustAppendAnswer) {
    if (Code == Common::ResultCode::Ok)
      for (const Claim &Each : Ended.Claims)
        if (const auto Found = Open.find(Each.Holder); Found != Open.end())
          tell(Found->second.Asked, {Each.Holder, VerdictKind::Won, {}},
               Actions);
  }
  if (Code != Common::ResultCode::Ok) {
    putBack(std::move(Ended));
    NextAppendAt = std::max(NextAppendAt, Now + Limits.RetryDelay);
  }
  pump(Now, Actions);
  return Actions;
}

template <WinRule Rule>
BatcherActions ClaimBatcher<Rule>::recordRead(Common::WallTime Appended,
                                              const Batch &Content,
                                              Common::SteadyTime Now) {
  BatcherActions Actions;
  Index.apply(Appended, Content);
  // A lost answer then holds nothing up.
  if (Sent && Sent->Id == Content.Id)
    Sent.reset();
  for (const Claim &Each : Content.Claims) {
    settleKey(Each.Key, Actions);
    const auto Void = Open.find(Each.Holder);
    if (Void != Open.end() && !Index.find(Each.Key)) {
      tell(Void->second.Asked, {Each.Holder, VerdictKind::Expired, {}},
           Actions);
      forget(Each.Holder);
    }
  }
  for (const Outcome &Each : Content.Outcomes)
    settleKey(Each.Key, Actions);
  pump(Now, Actions);
  return Actions;
}

template <WinRule Rule>
void ClaimBatcher<Rule>::describe(std::ostream &Out) const {
  Index.describe(Out);
  Out << " ready " << Ready << " open";
  const std::map<HolderId, OpenClaim> Ordered(Open.begin(), Open.end());
  for (const auto &[Holder, Each] : Ordered)
    Out << ' ' << Holder << Each.Asked.Origin << Each.WantsAppend
        << Each.WasAppended << Each.Asked.Deadline.time_since_epoch().count();
  Out << " ends";
  for (const auto &[At, Holder] : Ends)
    Out << ' ' << At.time_since_epoch().count() << Holder;
  Out << " append";
  for (const HolderId &Each : ToAppend)
    Out << ' ' << Each;
  for (const Outcome &Each : OutcomesToAppend)
    Out << ' ' << Each.Holder << Common::resultCodeNumber(Each.Result);
  Out << " sent " << (Sent ? Sent->Id : "") << " next " << NextBatch << ' '
      << NextAppendAt.time_since_epoch().count() << ' '
      << OutcomesDueAt.time_since_epoch().count();
}

template <WinRule Rule> void ClaimBatcher<Rule>::historyLost() {
  Index.clear();
  Ready = false;
}

template <WinRule Rule>
BatcherActions ClaimBatcher<Rule>::tick(Common::SteadyTime Now) {
  BatcherActions Actions;
  while (!Ends.empty() && Ends.begin()->first <= Now) {
    const HolderId Holder = Ends.begin()->second;
    Ends.erase(Ends.begin());
    const auto Found = Open.find(Holder);
    if (Found == Open.end())
      continue;
    const Common::SteadyTime Last =
        Found->second.Asked.Deadline + Limits.LateLimit;
    Found->second.WantsAppend = false;
    if (Found->second.WasAppended && Now < Last)
      Ends.emplace(Last, Holder);
    else
      forget(Holder);
  }
  pump(Now, Actions);
  return Actions;
}

template <WinRule Rule>
std::optional<Common::SteadyTime> ClaimBatcher<Rule>::nextDue() const {
  std::optional<Common::SteadyTime> Due;
  if (!Ends.empty())
    Due = Ends.begin()->first;
  if (Sent || (ToAppend.empty() && OutcomesToAppend.empty()))
    return Due;
  const Common::SteadyTime AppendAt =
      ToAppend.empty() ? std::max(NextAppendAt, OutcomesDueAt) : NextAppendAt;
  return Due ? std::min(*Due, AppendAt) : AppendAt;
}

template <WinRule Rule>
Verdict ClaimBatcher<Rule>::judge(const Claim &Wanted,
                                  const ClaimIndex::Entry *Known) const {
  Verdict Result{Wanted.Holder, VerdictKind::HeldByOther, {}};
  if (Known->Fingerprint != Wanted.Fingerprint) {
    Result.Kind = VerdictKind::OtherRequest;
  } else if (Known->Ended) {
    Result.Kind = VerdictKind::Ended;
    Result.Ended = Known->Ended;
  } else if (Known->Holder == Wanted.Holder) {
    Result.Kind = VerdictKind::Won;
  }
  return Result;
}

template <WinRule Rule>
void ClaimBatcher<Rule>::tell(const AskedClaim &Asked, Verdict Told,
                              BatcherActions &Actions) {
  Actions.push_back(TellVerdict{Asked.Origin, std::move(Told)});
}

template <WinRule Rule>
void ClaimBatcher<Rule>::settleKey(const std::string &Key,
                                   BatcherActions &Actions) {
  const ClaimIndex::Entry *Known = Index.find(Key);
  if (!Known)
    return;
  std::vector<HolderId> Settled;
  const auto [First, Last] = OpenByKey.equal_range(Key);
  for (auto Each = First; Each != Last; ++Each) {
    OpenClaim &Waiting = Open.at(Each->second);
    Waiting.WantsAppend = false;
    const AskedClaim &Asked = Waiting.Asked;
    const Verdict Told = judge(Asked.Wanted, Known);
    tell(Asked, Told, Actions);
    if (Told.Kind != VerdictKind::HeldByOther)
      Settled.push_back(Each->second);
  }
  for (const HolderId &Each : Settled)
    forget(Each);
}

template <WinRule Rule>
void ClaimBatcher<Rule>::forget(const HolderId &Holder) {
  const auto Found = Open.find(Holder);
  if (Found == Open.end())
    return;
  const auto [First, Last] =
      OpenByKey.equal_range(Found->second.Asked.Wanted.Key);
  for (auto Each = First; Each != Last; ++Each)
    if (Each->second == Holder) {
      OpenByKey.erase(Each);
      break;
    }
  Open.erase(Found);
}

template <WinRule Rule>
void ClaimBatcher<Rule>::pump(Common::SteadyTime Now, BatcherActions &Actions) {
  if (Sent || Now < NextAppendAt)
    return;
  Batch Content;
  while (!ToAppend.empty() && Content.Claims.size() < Limits.MaxClaimsInBatch) {
    const auto Found = Open.find(ToAppend.front());
    ToAppend.pop_front();
    if (Found == Open.end())
      continue;
    OpenClaim &Each = Found->second;
    // A batcher that was frozen must not append what nobody waits for.
    if (!std::exchange(Each.WantsAppend, false) || Each.Asked.Deadline <= Now)
      continue;
    Each.WasAppended = true;
    Content.Claims.push_back(Each.Asked.Wanted);
  }
  // An append for outcomes alone would hold up the claims that come next.
  if (Content.Claims.empty() && Now < OutcomesDueAt)
    return;
  while (!OutcomesToAppend.empty() &&
         Content.Outcomes.size() < Limits.MaxOutcomesInBatch) {
    Content.Outcomes.push_back(std::move(OutcomesToAppend.front()));
    OutcomesToAppend.pop_front();
  }
  if (Content.Claims.empty() && Content.Outcomes.empty())
    return;
  Content.Id = Name + "/" + std::to_string(NextBatch++);
  Sent = Content;
  NextAppendAt = Now + Limits.AppendInterval;
  Actions.push_back(AppendBatch{std::move(Content)});
}

template <WinRule Rule> void ClaimBatcher<Rule>::putBack(Batch Failed) {
  // Appending a claim twice is harmless: the first of a key counts.
  for (const Claim &Each : Failed.Claims)
    if (const auto Found = Open.find(Each.Holder);
        Found != Open.end() && !Index.find(Each.Key)) {
      Found->second.WantsAppend = true;
      ToAppend.push_back(Each.Holder);
    }
  for (Outcome &Each : Failed.Outcomes)
    if (OutcomesToAppend.size() < Limits.MaxOpen)
      OutcomesToAppend.push_back(std::move(Each));
}

} // namespace Once
