#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Common/Time.h"
#include "Config/ObjectSet.h"
#include "Routing/Call.h"
#include "Routing/ChoicePolicy.h"
#include "Routing/RecentLatency.h"
#include "Routing/RetryBudget.h"
#include "Routing/ServerRecords.h"
#include "Routing/ServerView.h"

namespace Routing {

// What a caller asked of its near node.
struct CallStart {
  CallId Call = 0;
  std::string Method;
  std::string Path;
  std::string Target;
  std::string Body;
  std::map<std::string, std::string> Fields;
  std::string CorrelationId;
  std::string Caller;
  // Limits from the caller; the set's own limits hold as well.
  std::optional<Common::Micros> Limit;
  std::optional<int> AttemptsLeft;
};

// Actions that the decision asks of the service around it.
struct SendAttempt {
  NodeAddress Node;
  CallRequest Request;
};
struct CancelAttempt {
  NodeAddress Node;
  AttemptId Attempt = 0;
};
struct AnswerCaller {
  CallId Call = 0;
  CallReply Reply;
  int Attempts = 0;
  // Empty for a call without a route.
  std::string Service;
  std::string Kind;
  // Where the last attempt that ended was sent; empty without one.
  std::string DataCentre;
};
using DispatchAction = std::variant<SendAttempt, CancelAttempt, AnswerCaller>;
using DispatchActions = std::vector<DispatchAction>;

// The near side of calls: finds the route, chooses a server, and tries again
// where that is safe. It has no clock, socket or thread of its own.
template <ChoicePolicy Policy> class Dispatcher {
public:
  static constexpr std::size_t DefaultOpenCallLimit = 20'000;

  Dispatcher(std::string OwnDataCentre, Policy Choice,
             std::size_t OpenCallLimit = DefaultOpenCallLimit)
      : OwnDataCentre(std::move(OwnDataCentre)), Choice(std::move(Choice)),
        OpenCallLimit(OpenCallLimit) {}

  // Calls that have begun keep the set they began with.
  void useSet(Config::Version Number, Config::ObjectSetPtr NewSet);
  void useServers(ServerViewPtr NewServers, Common::SteadyTime Now);

  DispatchActions begin(CallStart &&Start, Common::SteadyTime Now);
  // A reply to an attempt that is no longer known is dropped.
  DispatchActions reply(const CallReply &Reply, Common::SteadyTime Now);
  // The connection to a node is gone: its attempts have no answer to come.
  DispatchActions connectionLost(const NodeAddress &Node,
                                 Common::SteadyTime Now);
  // Does what is due: hedges calls that take long, and ends those whose
  // deadline has passed.
  DispatchActions runDue(Common::SteadyTime Now);
  // When runDue has to be called next.
  std::optional<Common::SteadyTime> nextDue() const;

  std::size_t openCalls() const { return Calls.size(); }
  Config::Version version() const { return InForce; }

private:
  struct OpenCall {
    CallStart Start;
    Config::ObjectSetPtr Set;
    Config::Version Number = 0;
    std::string Service;
    Config::RequestKind Kind;
    Config::RetryRule Rule;
    Common::SteadyTime Deadline;
    std::optional<Common::SteadyTime> HedgeAt;
    int AttemptsLeft = 1;
    int AttemptsMade = 0;
    // Servers that have an attempt of this call or had one that failed.
    std::set<std::string> Excluded;
    std::vector<AttemptId> InFlight;
    std::string LastDataCentre;
    // Set once an attempt may have run: the call is then never "not run".
    std::optional<Common::ResultCode> UnknownOutcome;
  };
  struct OpenAttempt {
    CallId Call = 0;
    ServerEntry Server;
    Common::SteadyTime SentAt;
    std::string Kind;
    bool IsFirst = true;
  };
  // What is shared by the calls of one request kind.
  struct KindRecord {
    RetryBudget Budget;
    RecentLatency Latency;
  };
  using DueTimes = std::set<std::pair<Common::SteadyTime, CallId>>;

  // How long the quantiles of a kind count as its usual latency. Without
  // answers calls are let through again, so that new answers can come.
  static constexpr Common::Millis UsualLatencyLife{1'000};
  // Keeps hedges early while many answers come from slow servers.
  static constexpr int MaxHedgeMedians = 4;
  // A retry may not be retried further down the chain.
  static constexpr int RetryAttemptsBelow = 1;
  static constexpr int UnlimitedAttempts = 100;

  std::optional<Common::ResultCode> reasonToRefuse(const OpenCall &Call,
                                                   Common::Micros Limit,
                                                   Common::SteadyTime Now);
  void open(OpenCall &&Call, Common::Micros Limit, Common::SteadyTime Now,
            DispatchActions &Actions);
  const ServerEntry *chooseServer(const OpenCall &Call, Common::SteadyTime Now);
  void attempt(OpenCall &Call, const ServerEntry &Server,
               Common::SteadyTime Now, DispatchActions &Actions);
  CallRequest makeRequest(const OpenCall &Call, AttemptId Attempt,
                          Common::SteadyTime Now) const;
  void armHedge(OpenCall &Call, Common::SteadyTime Now);
  void disarmHedge(OpenCall &Call);
  void hedge(OpenCall &Call, Common::SteadyTime Now, DispatchActions &Actions);
  void settle(AttemptId Id, const CallReply &Reply, Common::SteadyTime Now,
              DispatchActions &Actions);
  // Closes the attempt's entries; none if it is not known.
  std::optional<OpenAttempt> closeAttempt(AttemptId Id, const CallReply *Reply,
                                          Common::SteadyTime Now);
  void retryOrFinish(OpenCall &Call, CallReply Reply, Common::SteadyTime Now,
                     DispatchActions &Actions);
  void noteLatency(const OpenCall &Call, const OpenAttempt &Ended,
                   Common::SteadyTime Now);
  void cancelInFlight(OpenCall &Call, Common::SteadyTime Now,
                      DispatchActions &Actions);
  void finish(CallId Call, CallReply Reply, DispatchActions &Actions);
  void fail(CallId Call, Common::ResultCode Code, DispatchActions &Actions);
  static bool mayTryAgain(const OpenCall &Call, Common::ResultCode Code);

  std::string OwnDataCentre;
  Policy Choice;
  std::size_t OpenCallLimit;
  Config::Version InForce = 0;
  Config::ObjectSetPtr Set;
  ServerViewPtr Servers = std::make_shared<const ServerView>();
  std::unordered_map<CallId, OpenCall> Calls;
  std::unordered_map<AttemptId, OpenAttempt> Attempts;
  std::unordered_map<NodeAddress, std::set<AttemptId>> AttemptsByNode;
  DueTimes Deadlines;
  DueTimes Hedges;
  ServerRecords Records;
  std::unordered_map<std::string, KindRecord> Kinds;
  AttemptId NextAttempt = 1;
};

template <ChoicePolicy Policy>
void Dispatcher<Policy>::useSet(Config::Version Number,
                                Config::ObjectSetPtr NewSet) {
  InForce = Number;
  Set = std::move(NewSet);
  std::erase_if(Kinds, [this](const auto &Each) {
    return !Set->kinds().contains(Each.first);
  });
  Records.useKinds(Set->kinds());
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::useServers(ServerViewPtr NewServers,
                                    Common::SteadyTime Now) {
  Servers = std::move(NewServers);
  Records.useServers(*Servers, Now);
}

template <ChoicePolicy Policy>
DispatchActions Dispatcher<Policy>::begin(CallStart &&Start,
                                          Common::SteadyTime Now) {
  DispatchActions Actions;
  const auto Refuse = [&](Common::ResultCode Code) {
    CallReply Reply;
    Reply.Result = Code;
    Actions.push_back(
        AnswerCaller{Start.Call, std::move(Reply), 0, {}, {}, {}});
    return Actions;
  };
  if (!Set)
    return Refuse(Common::ResultCode::NoConfiguration);
  const Config::Route *Route = Set->findRoute(Start.Method, Start.Path);
  if (!Route)
    return Refuse(Common::ResultCode::NoRoute);
  OpenCall Call;
  Call.Set = Set;
  Call.Number = InForce;
  Call.Service = Route->Service;
  Call.Kind = Set->kinds().at(Route->Kind);
  Call.Rule = Set->retryRules().at(Call.Kind.Retry);
  const Common::Micros Limit =
      std::min(Start.Limit.value_or(Call.Kind.Deadline), Call.Kind.Deadline);
  if (const auto Code = reasonToRefuse(Call, Limit, Now))
    return Refuse(*Code);
  Call.Start = std::move(Start);
  open(std::move(Call), Limit, Now, Actions);
  return Actions;
}

template <ChoicePolicy Policy>
std::optional<Common::ResultCode>
Dispatcher<Policy>::reasonToRefuse(const OpenCall &Call, Common::Micros Limit,
                                   Common::SteadyTime Now) {
  if (Calls.size() >= OpenCallLimit)
    return Common::ResultCode::QueueFull;
  const RecentLatency &Usual = Kinds[Call.Kind.Name].Latency;
  const bool IsHopeless = Usual.low() && Limit < *Usual.low() &&
                          Usual.isFresh(Now, UsualLatencyLife);
  if (Limit <= Common::Micros(0) || IsHopeless)
    return Common::ResultCode::DeadlineTooClose;
  return std::nullopt;
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::open(OpenCall &&Call, Common::Micros Limit,
                              Common::SteadyTime Now,
                              DispatchActions &Actions) {
  const CallId Id = Call.Start.Call;
  Call.Deadline = Now + Limit;
  Call.AttemptsLeft = std::min(
      Call.Start.AttemptsLeft.value_or(Call.Rule.Attempts), Call.Rule.Attempts);
  Deadlines.emplace(Call.Deadline, Id);
  OpenCall &Opened = Calls.emplace(Id, std::move(Call)).first->second;
  // Calls that cannot be retried give nothing to the budget of the others.
  if (Opened.AttemptsLeft > 1)
    Kinds[Opened.Kind.Name].Budget.noteFirstAttempt(Opened.Rule.BudgetPercent);
  const ServerEntry *Server = chooseServer(Opened, Now);
  if (!Server) {
    fail(Id, Common::ResultCode::NoLiveServer, Actions);
    return;
  }
  attempt(Opened, *Server, Now, Actions);
  armHedge(Opened, Now);
}

template <ChoicePolicy Policy>
const ServerEntry *Dispatcher<Policy>::chooseServer(const OpenCall &Call,
                                                    Common::SteadyTime Now) {
  // The fallback chain has no circle: the set was checked.
  for (std::string Name = Call.Service; !Name.empty();
       Name = Call.Set->services().at(Name).Fallback) {
    const auto Found = Servers->ByService.find(Name);
    if (Found == Servers->ByService.end())
      continue;
    const std::vector<ServerEntry> &Candidates = Found->second;
    const std::optional<std::size_t> Chosen =
        Choice.choose({Candidates, Records, OwnDataCentre, Call.Excluded, Now,
                       Call.Kind.Name});
    if (Chosen)
      return &Candidates[*Chosen];
  }
  return nullptr;
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::attempt(OpenCall &Call, const ServerEntry &Server,
                                 Common::SteadyTime Now,
                                 DispatchActions &Actions) {
  const AttemptId Attempt = NextAttempt++;
  ++Call.AttemptsMade;
  --Call.AttemptsLeft;
  Call.InFlight.push_back(Attempt);
  Call.Excluded.insert(Server.Server);
  Attempts.emplace(Attempt,
                   OpenAttempt{Call.Start.Call, Server, Now, Call.Kind.Name});
  AttemptsByNode[Server.Node].insert(Attempt);
  Records.attemptSent(Server.Server, Call.Kind.Name, Now);
  Actions.push_back(SendAttempt{Server.Node, makeRequest(Call, Attempt, Now)});
}

template <ChoicePolicy Policy>
CallRequest Dispatcher<Policy>::makeRequest(const OpenCall &Call,
                                            AttemptId Attempt,
                                            Common::SteadyTime Now) const {
  CallRequest Request;
  Request.Attempt = Attempt;
  Request.Service = Call.Service;
  Request.Kind = Call.Kind.Name;
  Request.Method = Call.Start.Method;
  Request.Target = Call.Start.Target;
  Request.Body = Call.Start.Body;
  Request.Fields = Call.Start.Fields;
  Request.Remaining =
      std::chrono::duration_cast<Common::Micros>(Call.Deadline - Now);
  Request.AttemptsLeft =
      Call.AttemptsMade > 1
          ? RetryAttemptsBelow
          : Call.Start.AttemptsLeft.value_or(UnlimitedAttempts);
  Request.LongLane = Call.Kind.LongLane;
  Request.Idempotent = Call.Kind.Idempotent;
  Request.CorrelationId = Call.Start.CorrelationId;
  Request.Caller = Call.Start.Caller;
  Request.ConfigVersion = Call.Number;
  return Request;
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::armHedge(OpenCall &Call, Common::SteadyTime Now) {
  if (!Call.Rule.HedgeAfter || !Call.Kind.Idempotent || Call.Kind.LongLane ||
      Call.AttemptsLeft <= 0)
    return;
  const RecentLatency &Usual = Kinds[Call.Kind.Name].Latency;
  Common::Micros Delay = *Call.Rule.HedgeAfter;
  if (Usual.high() && Usual.median())
    Delay = std::max(
        Delay, std::min(*Usual.high(), MaxHedgeMedians * *Usual.median()));
  Call.HedgeAt = Now + Delay;
  if (*Call.HedgeAt < Call.Deadline)
    Hedges.emplace(*Call.HedgeAt, Call.Start.Call);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::disarmHedge(OpenCall &Call) {
  if (Call.HedgeAt)
    Hedges.erase(std::pair(*Call.HedgeAt, Call.Start.Call));
  Call.HedgeAt.reset();
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::hedge(OpenCall &Call, Common::SteadyTime Now,
                               DispatchActions &Actions) {
  disarmHedge(Call);
  if (Call.AttemptsLeft <= 0)
    return;
  const ServerEntry *Server = chooseServer(Call, Now);
  if (!Server || !Kinds[Call.Kind.Name].Budget.tryTake())
    return;
  attempt(Call, *Server, Now, Actions);
  // The second server may be as slow as the first.
  armHedge(Call, Now);
}

template <ChoicePolicy Policy>
bool Dispatcher<Policy>::mayTryAgain(const OpenCall &Call,
                                     Common::ResultCode Code) {
  if (Call.AttemptsLeft <= 0)
    return false;
  if (Common::isNotRun(Code))
    return true;
  return Call.Kind.Idempotent && Common::isUnknownOutcome(Code);
}

template <ChoicePolicy Policy>
auto Dispatcher<Policy>::closeAttempt(AttemptId Id, const CallReply *Reply,
                                      Common::SteadyTime Now)
    -> std::optional<OpenAttempt> {
  auto Node = Attempts.extract(Id);
  if (Node.empty())
    return std::nullopt;
  OpenAttempt &Ended = Node.mapped();
  const auto OfNode = AttemptsByNode.find(Ended.Server.Node);
  OfNode->second.erase(Id);
  if (OfNode->second.empty())
    AttemptsByNode.erase(OfNode);
  Records.attemptEnded(Ended.Server.Server, {Ended.SentAt, Ended.Kind, Reply},
                       Now);
  return std::move(Ended);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::settle(AttemptId Id, const CallReply &Reply,
                                Common::SteadyTime Now,
                                DispatchActions &Actions) {
  const std::optional<OpenAttempt> Ended = closeAttempt(Id, &Reply, Now);
  if (!Ended)
    return;
  OpenCall &Call = Calls.at(Ended->Call);
  std::erase(Call.InFlight, Id);
  Call.LastDataCentre = Ended->Server.DataCentre;
  if (Reply.Result == Common::ResultCode::Ok) {
    noteLatency(Call, *Ended, Now);
    cancelInFlight(Call, Now, Actions);
    finish(Ended->Call, Reply, Actions);
    return;
  }
  if (!Common::isNotRun(Reply.Result))
    Call.UnknownOutcome = Reply.Result;
  // Another attempt may still bring the answer.
  if (Call.InFlight.empty())
    retryOrFinish(Call, Reply, Now, Actions);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::retryOrFinish(OpenCall &Call, CallReply Reply,
                                       Common::SteadyTime Now,
                                       DispatchActions &Actions) {
  disarmHedge(Call);
  const bool Wanted = Call.Deadline > Now && mayTryAgain(Call, Reply.Result);
  const ServerEntry *Server = Wanted ? chooseServer(Call, Now) : nullptr;
  if (Server && Kinds[Call.Kind.Name].Budget.tryTake()) {
    attempt(Call, *Server, Now, Actions);
    return;
  }
  if (Server && Common::isNotRun(Reply.Result))
    Reply.Result = Common::ResultCode::RetryBudgetSpent;
  if (Call.UnknownOutcome && Common::isNotRun(Reply.Result))
    Reply.Result = *Call.UnknownOutcome;
  finish(Call.Start.Call, std::move(Reply), Actions);
}

// Only first attempts count, and count also when a hedge was faster: otherwise
// each hedge would bring the quantiles down and with them the next hedge
// nearer.
template <ChoicePolicy Policy>
void Dispatcher<Policy>::noteLatency(const OpenCall &Call,
                                     const OpenAttempt &Ended,
                                     Common::SteadyTime Now) {
  if (Ended.IsFirst)
    Kinds[Call.Kind.Name].Latency.add(
        std::chrono::duration_cast<Common::Micros>(Now - Ended.SentAt), Now);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::cancelInFlight(OpenCall &Call, Common::SteadyTime Now,
                                        DispatchActions &Actions) {
  for (const AttemptId Each : Call.InFlight)
    if (const auto Ended = closeAttempt(Each, nullptr, Now)) {
      noteLatency(Call, *Ended, Now);
      Actions.push_back(CancelAttempt{Ended->Server.Node, Each});
    }
  Call.InFlight.clear();
}

template <ChoicePolicy Policy>
DispatchActions Dispatcher<Policy>::reply(const CallReply &Reply,
                                          Common::SteadyTime Now) {
  DispatchActions Actions;
  settle(Reply.Attempt, Reply, Now, Actions);
  return Actions;
}

template <ChoicePolicy Policy>
DispatchActions Dispatcher<Policy>::connectionLost(const NodeAddress &Node,
                                                   Common::SteadyTime Now) {
  DispatchActions Actions;
  const auto Found = AttemptsByNode.find(Node);
  if (Found == AttemptsByNode.end())
    return Actions;
  // Retries may go to the same node by its next connection.
  const std::set<AttemptId> Lost = Found->second;
  for (const AttemptId Id : Lost) {
    CallReply Unknown;
    Unknown.Attempt = Id;
    Unknown.Result = Common::ResultCode::ConnectionLost;
    settle(Id, Unknown, Now, Actions);
  }
  return Actions;
}

template <ChoicePolicy Policy>
DispatchActions Dispatcher<Policy>::runDue(Common::SteadyTime Now) {
  DispatchActions Actions;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const CallId Id = Deadlines.begin()->second;
    cancelInFlight(Calls.at(Id), Now, Actions);
    fail(Id, Common::ResultCode::DeadlinePassed, Actions);
  }
  while (!Hedges.empty() && Hedges.begin()->first <= Now)
    hedge(Calls.at(Hedges.begin()->second), Now, Actions);
  return Actions;
}

template <ChoicePolicy Policy>
std::optional<Common::SteadyTime> Dispatcher<Policy>::nextDue() const {
  if (Deadlines.empty())
    return std::nullopt;
  const Common::SteadyTime Deadline = Deadlines.begin()->first;
  return Hedges.empty() ? Deadline : std::min(Deadline, Hedges.begin()->first);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::fail(CallId Call, Common::ResultCode Code,
                              DispatchActions &Actions) {
  CallReply Reply;
  Reply.Result = Code;
  finish(Call, std::move(Reply), Actions);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::finish(CallId Call, CallReply Reply,
                                DispatchActions &Actions) {
  auto Node = Calls.extract(Call);
  disarmHedge(Node.mapped());
  Deadlines.erase(std::pair(Node.mapped().Deadline, Call));
  OpenCall &Ended = Node.mapped();
  Actions.push_back(AnswerCaller{
      Call, std::move(Reply), Ended.AttemptsMade, std::move(Ended.Service),
      std::move(Ended.Kind.Name), std::move(Ended.LastDataCentre)});
}

} // namespace Routing
