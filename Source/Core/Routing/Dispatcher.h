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
#include "Routing/RetryBudgets.h"
#include "Routing/ServerRecords.h"
#include "Routing/ServerView.h"

namespace Routing {

// What a caller asked of its near node.
struct CallStart {
  CallId Call = 0;
  std::string Method;
  std::string Host;
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
  // From 1, counting tries that the nodes refused as well.
  int Number = 1;
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
  Config::Version Number = 0;
  // The time that the call had in all; 0 without a route.
  Common::Micros Limit{0};
  // The quickest of the recent calls of its kind. Set when the call was
  // refused before any attempt.
  std::optional<Common::Micros> LeastUsual;
  // Host and path of a call that no route takes.
  std::string Unrouted;
  // When a refused caller should come back.
  std::optional<Common::Micros> ComeBackAfter;
};
using DispatchAction = std::variant<SendAttempt, CancelAttempt, AnswerCaller>;
using DispatchActions = std::vector<DispatchAction>;

// The near side of calls: finds the route, chooses a server, and tries again
// where that is safe. It has no clock, socket or thread of its own.
template <ChoicePolicy Policy, RetryBudgets Budgets = KindBudgets>
class Dispatcher {
public:
  static constexpr std::size_t DefaultOpenCallLimit = 20'000;

  Dispatcher(std::string OwnDataCentre, Policy Choice,
             std::size_t OpenCallLimit = DefaultOpenCallLimit,
             Budgets Shared = Budgets())
      : OwnDataCentre(std::move(OwnDataCentre)), Choice(std::move(Choice)),
        OpenCallLimit(OpenCallLimit), Extra(std::move(Shared)) {}

  // Calls that have begun keep the set they began with.
  void useSet(Config::Version Number, Config::ObjectSetPtr NewSet);
  void useServers(ServerViewPtr NewServers, Common::SteadyTime Now);

  DispatchActions begin(CallStart &&Start, Common::SteadyTime Now);
  // A reply to an attempt that is no longer known is dropped.
  DispatchActions reply(const CallReply &Reply, Common::SteadyTime Now);
  // The connection to a node is gone: its attempts have no answer to come.
  DispatchActions connectionLost(const NodeAddress &Node,
                                 Common::SteadyTime Now);
  // A node told the load of its server without being called.
  void loadHeard(const std::string &Server, const ServerLoad &Load,
                 Common::SteadyTime Now) {
    Records.loadHeard(Server, Load, Now);
  }
  // The caller went away: nobody waits for the answer any more.
  DispatchActions callerGone(CallId Call, Common::SteadyTime Now);
  // Does what is due: hedges calls that take long, and ends those whose
  // deadline has passed.
  DispatchActions runDue(Common::SteadyTime Now);
  // When runDue has to be called next.
  std::optional<Common::SteadyTime> nextDue() const;

  std::size_t openCalls() const { return Calls.size(); }
  Budgets &budgets() { return Extra; }
  Config::Version version() const { return InForce; }

private:
  struct OpenCall {
    CallStart Start;
    Config::ObjectSetPtr Set;
    Config::Version Number = 0;
    std::string Service;
    Config::RequestKind Kind;
    Config::RetryRule Rule;
    Common::SteadyTime BegunAt;
    Common::SteadyTime Deadline;
    // Where it stands in Deadlines.
    Common::SteadyTime DueAt;
    std::optional<Common::SteadyTime> HedgeAt;
    int AttemptsLeft = 1;
    int AttemptsMade = 0;
    int Redirects = 0;
    // The last try goes to the server with the least to wait for, whatever
    // that is.
    bool IsLastRedirect = false;
    // Until then an answer is worth most.
    Common::SteadyTime Target;
    // Servers whose nodes refused it for want of room.
    std::set<std::string> Busy;
    // The shortest wait that a refusing node told of.
    std::optional<Common::Micros> LeastWait;
    // Servers that have an attempt of this call or had one that failed.
    std::set<std::string> Excluded;
    std::vector<AttemptId> InFlight;
    std::string LastDataCentre;
    // Set once an attempt may have run: the call is then never "not run".
    std::optional<Common::ResultCode> UnknownOutcome;
    // The answer of a server that failed the call, while another is tried.
    std::optional<CallReply> ServerError;
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
    RecentLatency Latency;
  };
  using DueTimes = std::set<std::pair<Common::SteadyTime, CallId>>;

  // How long the quantiles of a kind count as its usual latency. Without
  // answers calls are let through again, so that new answers can come.
  static constexpr Common::Millis UsualLatencyLife{1'000};
  // Keeps hedges early while many answers come from slow servers.
  static constexpr int MaxHedgeMedians = 4;
  // A call that would wait for longer than this share of its latency target
  // is first offered to the nodes beside other servers.
  static constexpr int WaitShareOfTarget = 8;
  static constexpr Common::Millis DefaultWaitLimit{25};
  // Bounds of what a refused caller is told to wait.
  static constexpr Common::Millis LeastComeBack{100};
  static constexpr Common::Millis MostComeBack{1'000};
  // Bytes of the host and path that are told of a call without a route.
  static constexpr std::size_t MaxUnroutedLength = 200;
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
  const std::string &chooseService(const Config::Route &Route);
  bool redirect(OpenCall &Call, const OpenAttempt &Ended,
                const CallReply &Reply, Common::SteadyTime Now,
                DispatchActions &Actions);
  bool retryServerError(OpenCall &Call, const CallReply &Reply,
                        Common::SteadyTime Now, DispatchActions &Actions);
  std::optional<Common::Micros> waitLimit(const OpenCall &Call) const;
  static bool isNodeRefusal(Common::ResultCode Code);
  static Common::Micros waitOf(const ServerLoad &Load);
  BudgetUse budgetUse(const OpenCall &Call) const {
    return {Call.Service, Call.Kind.Name, Call.Rule.BudgetPercent};
  }
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
  Budgets Extra;
  // By route and service: what each part of a split is owed.
  std::unordered_map<std::string, std::map<std::string, double>> SplitCredits;
  AttemptId NextAttempt = 1;
};

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::useSet(Config::Version Number,
                                         Config::ObjectSetPtr NewSet) {
  InForce = Number;
  Set = std::move(NewSet);
  std::erase_if(Kinds, [this](const auto &Each) {
    return !Set->kinds().contains(Each.first);
  });
  std::erase_if(SplitCredits, [this](const auto &Each) {
    return !Set->routes().contains(Each.first);
  });
  Records.useKinds(Set->kinds());
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::useServers(ServerViewPtr NewServers,
                                             Common::SteadyTime Now) {
  Servers = std::move(NewServers);
  Records.useServers(*Servers, Now);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions Dispatcher<Policy, Budgets>::begin(CallStart &&Start,
                                                   Common::SteadyTime Now) {
  DispatchActions Actions;
  AnswerCaller Refusal;
  Refusal.Call = Start.Call;
  Refusal.Number = InForce;
  const auto Refuse = [&](Common::ResultCode Code) {
    Refusal.Reply.Result = Code;
    Actions.push_back(std::move(Refusal));
    return Actions;
  };
  if (!Set)
    return Refuse(Common::ResultCode::NoConfiguration);
  const Config::Route *Route =
      Set->findRoute(Start.Host, Start.Method, Start.Path);
  if (!Route) {
    Refusal.Unrouted = (Start.Host + Start.Path).substr(0, MaxUnroutedLength);
    return Refuse(Common::ResultCode::NoRoute);
  }
  OpenCall Call;
  Call.Set = Set;
  Call.Number = InForce;
  Call.Service = chooseService(*Route);
  Call.Kind = Set->kinds().at(Route->Kind);
  Call.Rule = Set->retryRules().at(Call.Kind.Retry);
  const Common::Micros Limit =
      std::min(Start.Limit.value_or(Call.Kind.Deadline), Call.Kind.Deadline);
  if (const auto Code = reasonToRefuse(Call, Limit, Now)) {
    Refusal.Service = std::move(Call.Service);
    Refusal.Limit = Limit;
    Refusal.LeastUsual = Kinds[Call.Kind.Name].Latency.low();
    Refusal.Kind = std::move(Call.Kind.Name);
    return Refuse(*Code);
  }
  Call.Start = std::move(Start);
  open(std::move(Call), Limit, Now, Actions);
  return Actions;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
std::optional<Common::ResultCode> Dispatcher<Policy, Budgets>::reasonToRefuse(
    const OpenCall &Call, Common::Micros Limit, Common::SteadyTime Now) {
  if (Calls.size() >= OpenCallLimit)
    return Common::ResultCode::QueueFull;
  const RecentLatency &Usual = Kinds[Call.Kind.Name].Latency;
  const bool IsHopeless = Usual.low() && Limit < *Usual.low() &&
                          Usual.isFresh(Now, UsualLatencyLife);
  if (Limit <= Common::Micros(0) || IsHopeless)
    return Common::ResultCode::DeadlineTooClose;
  return std::nullopt;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::open(OpenCall &&Call, Common::Micros Limit,
                                       Common::SteadyTime Now,
                                       DispatchActions &Actions) {
  const CallId Id = Call.Start.Call;
  Call.BegunAt = Now;
  Call.Deadline = Now + Limit;
  Call.Target = Call.Kind.TargetLatency.count() > 0
                    ? Now + std::min(Call.Kind.TargetLatency, Limit)
                    : Call.Deadline;
  Call.AttemptsLeft = std::min(
      Call.Start.AttemptsLeft.value_or(Call.Rule.Attempts), Call.Rule.Attempts);
  Call.DueAt = Call.Deadline;
  Deadlines.emplace(Call.DueAt, Id);
  OpenCall &Opened = Calls.emplace(Id, std::move(Call)).first->second;
  // Calls that cannot be retried give nothing to the budget of the others.
  if (Opened.AttemptsLeft > 1)
    Extra.noteFirstAttempt(budgetUse(Opened), Now);
  const ServerEntry *Server = chooseServer(Opened, Now);
  if (!Server) {
    fail(Id, Common::ResultCode::NoLiveServer, Actions);
    return;
  }
  attempt(Opened, *Server, Now, Actions);
  armHedge(Opened, Now);
}

// Smooth weighted round robin: each call adds the weights to what the parts
// are owed, and goes to the part that is owed most.
template <ChoicePolicy Policy, RetryBudgets Budgets>
const std::string &
Dispatcher<Policy, Budgets>::chooseService(const Config::Route &Route) {
  if (Route.Split.empty())
    return Route.Service;
  auto &Owed = SplitCredits[Route.Name];
  double Sum = 0;
  const Config::WeightedService *Best = nullptr;
  for (const Config::WeightedService &Each : Route.Split) {
    Sum += Each.Weight;
    Owed[Each.Service] += Each.Weight;
    if (Each.Weight > 0 && (!Best || Owed[Each.Service] > Owed[Best->Service]))
      Best = &Each;
  }
  Owed[Best->Service] -= Sum;
  return Best->Service;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
const ServerEntry *
Dispatcher<Policy, Budgets>::chooseServer(const OpenCall &Call,
                                          Common::SteadyTime Now) {
  // The fallback chain has no circle: the set was checked.
  for (std::string Name = Call.Service; !Name.empty();
       Name = Call.Set->services().at(Name).Fallback) {
    const auto Found = Servers->ByService.find(Name);
    if (Found == Servers->ByService.end())
      continue;
    const std::vector<ServerEntry> &Candidates = Found->second;
    const std::optional<std::size_t> Chosen = Choice.choose(
        {Candidates, Records, OwnDataCentre, Call.Excluded, Now, Call.Kind.Name,
         std::chrono::duration_cast<Common::Micros>(Call.Target - Now)});
    if (Chosen)
      return &Candidates[*Chosen];
  }
  return nullptr;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::attempt(OpenCall &Call,
                                          const ServerEntry &Server,
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
  CallRequest Request = makeRequest(Call, Attempt, Now);
  Request.Server = Server.Server;
  Actions.push_back(SendAttempt{Server.Node, std::move(Request),
                                Call.AttemptsMade + Call.Redirects});
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
CallRequest Dispatcher<Policy, Budgets>::makeRequest(
    const OpenCall &Call, AttemptId Attempt, Common::SteadyTime Now) const {
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
  Request.TargetLeft =
      std::chrono::duration_cast<Common::Micros>(Call.Target - Now);
  Request.TargetLength = Call.Kind.TargetLatency;
  Request.Priority = Call.Kind.Priority;
  Request.WaitLimit = waitLimit(Call);
  Request.LongLane = Call.Kind.LongLane;
  Request.Idempotent = Call.Kind.Idempotent;
  Request.CorrelationId = Call.Start.CorrelationId;
  Request.Caller = Call.Start.Caller;
  Request.ConfigVersion = Call.Number;
  return Request;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::armHedge(OpenCall &Call,
                                           Common::SteadyTime Now) {
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

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::disarmHedge(OpenCall &Call) {
  if (Call.HedgeAt)
    Hedges.erase(std::pair(*Call.HedgeAt, Call.Start.Call));
  Call.HedgeAt.reset();
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::hedge(OpenCall &Call, Common::SteadyTime Now,
                                        DispatchActions &Actions) {
  disarmHedge(Call);
  if (Call.AttemptsLeft <= 0)
    return;
  const ServerEntry *Server = chooseServer(Call, Now);
  if (!Server || !Extra.tryTake(budgetUse(Call), Now))
    return;
  attempt(Call, *Server, Now, Actions);
  // The second server may be as slow as the first.
  armHedge(Call, Now);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
bool Dispatcher<Policy, Budgets>::mayTryAgain(const OpenCall &Call,
                                              Common::ResultCode Code) {
  if (Call.AttemptsLeft <= 0)
    return false;
  if (Common::isNotRun(Code))
    return true;
  return Call.Kind.Idempotent && Common::isUnknownOutcome(Code);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
auto Dispatcher<Policy, Budgets>::closeAttempt(AttemptId Id,
                                               const CallReply *Reply,
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

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::settle(AttemptId Id, const CallReply &Reply,
                                         Common::SteadyTime Now,
                                         DispatchActions &Actions) {
  const std::optional<OpenAttempt> Ended = closeAttempt(Id, &Reply, Now);
  if (!Ended)
    return;
  OpenCall &Call = Calls.at(Ended->Call);
  std::erase(Call.InFlight, Id);
  // A second try that fails leaves the first server's answer to be given.
  if (!Call.ServerError || Reply.Result == Common::ResultCode::Ok)
    Call.LastDataCentre = Ended->Server.DataCentre;
  if (Reply.Result == Common::ResultCode::Ok &&
      retryServerError(Call, Reply, Now, Actions))
    return;
  if (Reply.Result == Common::ResultCode::Ok) {
    noteLatency(Call, *Ended, Now);
    cancelInFlight(Call, Now, Actions);
    finish(Ended->Call, Reply, Actions);
    return;
  }
  if (!Common::isNotRun(Reply.Result))
    Call.UnknownOutcome = Reply.Result;
  if (redirect(Call, *Ended, Reply, Now, Actions))
    return;
  // Another attempt may still bring the answer.
  if (Call.InFlight.empty())
    retryOrFinish(Call, Reply, Now, Actions);
}

// Refusals of the node itself: nothing reached its backend server.
template <ChoicePolicy Policy, RetryBudgets Budgets>
bool Dispatcher<Policy, Budgets>::isNodeRefusal(Common::ResultCode Code) {
  return Common::isNotRun(Code) && Code != Common::ResultCode::ServerShed;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
Common::Micros Dispatcher<Policy, Budgets>::waitOf(const ServerLoad &Load) {
  const int Ahead = Load.Queued + Load.BusySlots - Load.Slots + 1;
  return std::max(Ahead, 0) * Load.SlotTime / std::max(Load.Slots, 1);
}

// Load pattern: demand swings within a second, so that what a node knows of
// far queues is out of date. The far node knows its own queue exactly; it says
// no at once, and the call goes to where there is room.
template <ChoicePolicy Policy, RetryBudgets Budgets>
std::optional<Common::Micros>
Dispatcher<Policy, Budgets>::waitLimit(const OpenCall &Call) const {
  if (Call.Rule.Redirects == 0 || Call.IsLastRedirect)
    return std::nullopt;
  // A second try of what a server failed is worth no wait: the caller can have
  // the answer that there is.
  if (Call.ServerError)
    return Common::Micros(0);
  if (Call.Kind.TargetLatency.count() == 0)
    return DefaultWaitLimit;
  return Call.Kind.TargetLatency / WaitShareOfTarget;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
bool Dispatcher<Policy, Budgets>::redirect(OpenCall &Call,
                                           const OpenAttempt &Ended,
                                           const CallReply &Reply,
                                           Common::SteadyTime Now,
                                           DispatchActions &Actions) {
  if (Call.Rule.Redirects == 0 || !isNodeRefusal(Reply.Result) ||
      !Call.InFlight.empty())
    return false;
  if (Reply.Load.Slots > 0) {
    const Common::Micros Wait = waitOf(Reply.Load);
    Call.LeastWait = std::min(Wait, Call.LeastWait.value_or(Wait));
  }
  if (Reply.Result == Common::ResultCode::WouldWait) {
    Call.Busy.insert(Ended.Server.Server);
    Call.Excluded.erase(Ended.Server.Server);
  }
  // A last try that met a node which is going away is not the last.
  const bool LacksRoom = Reply.Result == Common::ResultCode::WouldWait ||
                         Reply.Result == Common::ResultCode::DeadlineTooClose ||
                         Reply.Result == Common::ResultCode::QueueFull;
  if ((Call.IsLastRedirect && LacksRoom) || Call.Deadline <= Now ||
      Call.Redirects > Call.Rule.Redirects)
    return false;
  const ServerEntry *Server = chooseServer(Call, Now);
  if (!Server)
    return false;
  // Where it was refused already it waits, if that is what is left.
  Call.IsLastRedirect = Call.Busy.contains(Server->Server) ||
                        ++Call.Redirects >= Call.Rule.Redirects;
  if (Call.IsLastRedirect && Call.ServerError)
    return false;
  // It reached no backend server, so it counts as no attempt.
  ++Call.AttemptsLeft;
  --Call.AttemptsMade;
  attempt(Call, *Server, Now, Actions);
  return true;
}

// Load pattern: a server fails a part of its calls while its health is good. A
// call that may run again is worth a second server, within the budget; without
// one the caller gets the first server's answer.
template <ChoicePolicy Policy, RetryBudgets Budgets>
bool Dispatcher<Policy, Budgets>::retryServerError(OpenCall &Call,
                                                   const CallReply &Reply,
                                                   Common::SteadyTime Now,
                                                   DispatchActions &Actions) {
  if (Reply.HttpStatus < FirstServerError || Call.Rule.Redirects == 0 ||
      !Call.Kind.Idempotent || Call.AttemptsLeft <= 0 ||
      !Call.InFlight.empty() || Call.Deadline <= Now)
    return false;
  const ServerEntry *Server = chooseServer(Call, Now);
  if (!Server || !Extra.tryTake(budgetUse(Call), Now))
    return false;
  Call.ServerError = Reply;
  attempt(Call, *Server, Now, Actions);
  return true;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions
Dispatcher<Policy, Budgets>::callerGone(CallId Call, Common::SteadyTime Now) {
  DispatchActions Actions;
  const auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return Actions;
  cancelInFlight(Found->second, Now, Actions);
  fail(Call, Common::ResultCode::Cancelled, Actions);
  return Actions;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::retryOrFinish(OpenCall &Call, CallReply Reply,
                                                Common::SteadyTime Now,
                                                DispatchActions &Actions) {
  disarmHedge(Call);
  // What nodes refused has been offered to all that may have room.
  const bool WasOffered = Call.ServerError || (Call.Rule.Redirects > 0 &&
                                               isNodeRefusal(Reply.Result));
  const bool Wanted =
      Call.Deadline > Now && !WasOffered && mayTryAgain(Call, Reply.Result);
  const ServerEntry *Server = Wanted ? chooseServer(Call, Now) : nullptr;
  if (Server && Extra.tryTake(budgetUse(Call), Now)) {
    attempt(Call, *Server, Now, Actions);
    return;
  }
  if (Server && Common::isNotRun(Reply.Result))
    Reply.Result = Common::ResultCode::RetryBudgetSpent;
  if (Call.ServerError)
    Reply = std::move(*Call.ServerError);
  else if (Call.UnknownOutcome && Common::isNotRun(Reply.Result))
    Reply.Result = *Call.UnknownOutcome;
  finish(Call.Start.Call, std::move(Reply), Actions);
}

// Only first attempts count, and count also when a hedge was faster: otherwise
// each hedge would bring the quantiles down and with them the next hedge
// nearer.
template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::noteLatency(const OpenCall &Call,
                                              const OpenAttempt &Ended,
                                              Common::SteadyTime Now) {
  if (Ended.IsFirst)
    Kinds[Call.Kind.Name].Latency.add(
        std::chrono::duration_cast<Common::Micros>(Now - Ended.SentAt), Now);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::cancelInFlight(OpenCall &Call,
                                                 Common::SteadyTime Now,
                                                 DispatchActions &Actions) {
  for (const AttemptId Each : Call.InFlight)
    if (const auto Ended = closeAttempt(Each, nullptr, Now)) {
      noteLatency(Call, *Ended, Now);
      Actions.push_back(CancelAttempt{Ended->Server.Node, Each});
    }
  Call.InFlight.clear();
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions Dispatcher<Policy, Budgets>::reply(const CallReply &Reply,
                                                   Common::SteadyTime Now) {
  DispatchActions Actions;
  settle(Reply.Attempt, Reply, Now, Actions);
  return Actions;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions
Dispatcher<Policy, Budgets>::connectionLost(const NodeAddress &Node,
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

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions Dispatcher<Policy, Budgets>::runDue(Common::SteadyTime Now) {
  DispatchActions Actions;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const CallId Id = Deadlines.begin()->second;
    OpenCall &Call = Calls.at(Id);
    const Common::SteadyTime Last = Call.Deadline + Call.Kind.AnswerSlack;
    if (!Call.InFlight.empty() && Now < Last) {
      Deadlines.erase(Deadlines.begin());
      Call.DueAt = Last;
      Deadlines.emplace(Call.DueAt, Id);
      continue;
    }
    cancelInFlight(Call, Now, Actions);
    fail(Id, Common::ResultCode::DeadlinePassed, Actions);
  }
  while (!Hedges.empty() && Hedges.begin()->first <= Now)
    hedge(Calls.at(Hedges.begin()->second), Now, Actions);
  return Actions;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
std::optional<Common::SteadyTime> Dispatcher<Policy, Budgets>::nextDue() const {
  if (Deadlines.empty())
    return std::nullopt;
  const Common::SteadyTime Deadline = Deadlines.begin()->first;
  return Hedges.empty() ? Deadline : std::min(Deadline, Hedges.begin()->first);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::fail(CallId Call, Common::ResultCode Code,
                                       DispatchActions &Actions) {
  CallReply Reply;
  Reply.Result = Code;
  finish(Call, std::move(Reply), Actions);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::finish(CallId Call, CallReply Reply,
                                         DispatchActions &Actions) {
  auto Node = Calls.extract(Call);
  disarmHedge(Node.mapped());
  OpenCall &Ended = Node.mapped();
  Deadlines.erase(std::pair(Ended.DueAt, Call));
  AnswerCaller Answer;
  Answer.Call = Call;
  Answer.Attempts = Ended.AttemptsMade;
  Answer.Number = Ended.Number;
  Answer.Limit = std::chrono::duration_cast<Common::Micros>(Ended.Deadline -
                                                            Ended.BegunAt);
  if (Common::isNotRun(Reply.Result))
    Answer.ComeBackAfter =
        std::clamp<Common::Micros>(Ended.LeastWait.value_or(Common::Micros(0)),
                                   LeastComeBack, MostComeBack);
  Answer.Reply = std::move(Reply);
  Answer.Service = std::move(Ended.Service);
  Answer.Kind = std::move(Ended.Kind.Name);
  Answer.DataCentre = std::move(Ended.LastDataCentre);
  Actions.push_back(std::move(Answer));
}

} // namespace Routing
