#include "Once/ClaimGate.h"

#include <algorithm>

namespace Once {

using Common::ResultCode;
using Common::SteadyTime;

namespace {

Outcome notRun(const Claim &Held) {
  Outcome Result;
  Result.Key = Held.Key;
  Result.Holder = Held.Holder;
  Result.Result = ResultCode::ClaimUnavailable;
  return Result;
}

} // namespace

GateActions ClaimGate::begin(Routing::CallId Call, Claim Wanted,
                             SteadyTime Deadline, SteadyTime Now) {
  if (Waiting.size() >= Limits.MaxWaiting || Deadline <= Now)
    return {RefuseClaimed{Call, ResultCode::ClaimUnavailable}};
  const HolderId Holder = Wanted.Holder;
  WaitingCall &Each = Waiting[Holder];
  Each.Call = Call;
  Each.Wanted = std::move(Wanted);
  Each.Deadline = Deadline;
  return {send(Each, Now)};
}

std::size_t ClaimGate::lastRank(const WaitingCall &Each) const {
  return (Each.Asked - 1) % Limits.Ranks;
}

SendClaim ClaimGate::send(WaitingCall &Each, SteadyTime Now) {
  Due.erase({Each.ResendAt, Each.Wanted.Holder});
  Each.ResendAt = std::min(Now + Limits.ResendDelay, Each.Deadline);
  Due.emplace(Each.ResendAt, Each.Wanted.Holder);
  SendClaim Result;
  Result.Rank = Each.Asked++ % Limits.Ranks;
  Result.Wanted = Each.Wanted;
  Result.Remaining =
      std::chrono::duration_cast<Common::Micros>(Each.Deadline - Now);
  return Result;
}

void ClaimGate::finish(const HolderId &Holder, GateAction Last,
                       GateActions &Actions) {
  const auto Found = Waiting.extract(Holder);
  Due.erase({Found.mapped().ResendAt, Holder});
  Actions.push_back(std::move(Last));
}

void ClaimGate::giveUp(const WaitingCall &Each, SteadyTime Now) {
  const SteadyTime Until = Now + Limits.LateLimit;
  Late.emplace(Each.Wanted.Holder, Decided{Each.Wanted, lastRank(Each)});
  LateEnds.emplace(Until, Each.Wanted.Holder);
}

GateActions ClaimGate::decided(const Verdict &Told, SteadyTime Now) {
  GateActions Actions;
  const auto Found = Waiting.find(Told.Holder);
  if (Found == Waiting.end()) {
    const auto Gone = Late.find(Told.Holder);
    // Only a call that ended here without running may say so.
    if (Told.Kind == VerdictKind::Won && Gone != Late.end()) {
      Actions.push_back(
          SendOutcome{Gone->second.Rank, notRun(Gone->second.Held)});
      Late.erase(Gone);
    }
    return Actions;
  }
  WaitingCall &Each = Found->second;
  const Routing::CallId Call = Each.Call;
  switch (Told.Kind) {
  case VerdictKind::Won:
    if (Now >= Each.Deadline) {
      Actions.push_back(SendOutcome{lastRank(Each), notRun(Each.Wanted)});
      finish(Told.Holder, RefuseClaimed{Call, ResultCode::ClaimUnavailable},
             Actions);
      break;
    }
    Running.emplace(Call, Decided{Each.Wanted, lastRank(Each)});
    finish(Told.Holder, LetRun{Call}, Actions);
    break;
  case VerdictKind::HeldByOther:
    Each.AtDeadline = ResultCode::DuplicateOfClaimed;
    break;
  case VerdictKind::Ended:
    if (Told.Ended)
      finish(Told.Holder, GiveRecorded{Call, *Told.Ended}, Actions);
    break;
  case VerdictKind::OtherRequest:
    finish(Told.Holder, RefuseClaimed{Call, ResultCode::KeyReusedWithOtherBody},
           Actions);
    break;
  case VerdictKind::Expired:
    finish(Told.Holder, RefuseClaimed{Call, ResultCode::KeyExpired}, Actions);
    break;
  case VerdictKind::NotYetKnown:
    ++Each.NotYetKnown;
    break;
  case VerdictKind::Refused:
    if (Each.AtDeadline == ResultCode::DuplicateOfClaimed)
      break;
    giveUp(Each, Now);
    finish(Told.Holder, RefuseClaimed{Call, ResultCode::ClaimUnavailable},
           Actions);
    break;
  }
  return Actions;
}

GateActions ClaimGate::ended(Routing::CallId Call, Outcome Ended) {
  const auto Found = Running.extract(Call);
  if (Found.empty())
    return {};
  Ended.Key = Found.mapped().Held.Key;
  Ended.Holder = Found.mapped().Held.Holder;
  return {SendOutcome{Found.mapped().Rank, std::move(Ended)}};
}

GateActions ClaimGate::resendAll(SteadyTime Now) {
  GateActions Actions;
  for (auto &[Holder, Each] : Waiting) {
    if (Each.Deadline <= Now)
      continue;
    Each.Asked = Each.NotYetKnown = 0;
    Actions.push_back(send(Each, Now));
  }
  return Actions;
}

GateActions ClaimGate::tick(SteadyTime Now) {
  GateActions Actions;
  while (!LateEnds.empty() && LateEnds.begin()->first <= Now) {
    Late.erase(LateEnds.begin()->second);
    LateEnds.erase(LateEnds.begin());
  }
  while (!Due.empty() && Due.begin()->first <= Now) {
    const HolderId Holder = Due.begin()->second;
    WaitingCall &Each = Waiting.at(Holder);
    if (Each.Deadline > Now) {
      Actions.push_back(send(Each, Now));
      continue;
    }
    RefuseClaimed Last{Each.Call, Each.AtDeadline};
    const bool NoneKnew = Each.NotYetKnown >= Each.Asked;
    if (NoneKnew && Each.AtDeadline == ResultCode::ClaimUnavailable)
      Last.Code = ResultCode::ClaimsNotYetKnown;
    if (Each.AtDeadline != ResultCode::DuplicateOfClaimed)
      giveUp(Each, Now);
    finish(Holder, Last, Actions);
  }
  return Actions;
}

void ClaimGate::describe(std::ostream &Out) const {
  const std::map<HolderId, WaitingCall> Ordered(Waiting.begin(), Waiting.end());
  for (const auto &[Holder, Each] : Ordered)
    Out << ' ' << Holder << Each.Asked << ' ' << Each.NotYetKnown << ' '
        << Each.ResendAt.time_since_epoch().count() << ' '
        << Common::resultCodeNumber(Each.AtDeadline);
  const std::map<Routing::CallId, Decided> Runs(Running.begin(), Running.end());
  for (const auto &[Call, Each] : Runs)
    Out << " runs " << Call << Each.Held.Holder << Each.Rank;
  const std::map<HolderId, Decided> Gone(Late.begin(), Late.end());
  for (const auto &[Holder, Each] : Gone)
    Out << " late " << Holder << Each.Rank;
}

std::optional<SteadyTime> ClaimGate::nextDue() const {
  std::optional<SteadyTime> Next;
  if (!Due.empty())
    Next = Due.begin()->first;
  if (!LateEnds.empty())
    Next = Next ? std::min(*Next, LateEnds.begin()->first)
                : LateEnds.begin()->first;
  return Next;
}

} // namespace Once
