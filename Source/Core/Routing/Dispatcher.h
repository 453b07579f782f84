#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numbers>
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
#include "Routing/CostModel.h"
#include "Routing/RecentLatency.h"
#include "Routing/RetryBudgets.h"
#include "Routing/ServerRecords.h"
#include "Routing/ServerView.h"
#include "Routing/VersionPolicy.h"
#include "Routing/VersionedServers.h"

namespace Routing {

// A call as its caller sent it to the caller-side node.
struct CallStart {
  CallId Call = 0;
  std::string Method;
  std::string Host;
  std::string Path;
  std::string Target;
  Common::SharedText Body;
  std::map<std::string, std::string> Fields;
  std::string CorrelationId;
  std::string Caller;
  // Limits that the caller set. The limits of the configuration apply as well.
  std::optional<Common::Micros> Timeout;
  std::optional<int> AttemptsLeft;
  // The key by which the caller identifies its tenant. It is a secret, so it is
  // taken out of Fields and cleared once the tenant is known.
  std::optional<std::string> TenantKey = {};
  // Set once the key is verified.
  std::string Tenant = {};
  // Takes precedence over the priority of the request kind.
  std::optional<int> Priority = {};
};

// Actions that the Dispatcher returns for the surrounding service to perform.
struct SendAttempt {
  NodeAddress Node;
  CallRequest Request;
  // Starts at 1 and includes attempts that server-side nodes refused.
  int AttemptNumber = 1;
  std::string DataCentre = {};
  // The attempt is refused as not run if there is no connection to the node
  // within this time.
  std::optional<Common::Micros> ConnectLimit = {};
  // Whether the call can be sent elsewhere if the outcome stays unknown.
  bool MayBeRepeated = false;
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
  // The data centre of the last finished attempt; empty if there was none.
  std::string DataCentre;
  Config::Version ConfigVersion = 0;
  // The whole time that the call had to finish; 0 without a route.
  Common::Micros Timeout{0};
  // The low quantile of the recent latencies of its kind. Set only when the
  // call was refused before any attempt.
  std::optional<Common::Micros> LowQuantileLatency;
  // Host and path of a call that matches no route.
  std::string UnroutedPath;
  // How long the call was expected to hold a slot of a server of usual speed; 0
  // if unknown.
  Common::Micros ExpectedCost{0};
  // How long a refused caller should wait before it retries.
  std::optional<Common::Micros> RetryAfter;
};
using DispatchAction = std::variant<SendAttempt, CancelAttempt, AnswerCaller>;
using DispatchActions = std::vector<DispatchAction>;

// The caller side of calls: finds the route, chooses a server, and retries
// where that is safe. It has no clock, socket or thread of its own: its owner
// passes in the time and performs the returned actions.
template <ChoicePolicy Policy, RetryBudgets Budgets = KindBudgets>
class Dispatcher {
public:
  static constexpr std::size_t DefaultOpenCallLimit = 20'000;

  Dispatcher(std::string LocalDataCentre, Policy Choice,
             std::size_t OpenCallLimit = DefaultOpenCallLimit,
             Budgets InitialBudgets = Budgets())
      : LocalDataCentre(std::move(LocalDataCentre)), Choice(std::move(Choice)),
        OpenCallLimit(OpenCallLimit),
        AttemptBudgets(std::move(InitialBudgets)) {}

  // Calls that are already open keep the object set they started with.
  void useSet(Config::Version NewVersion, Config::ObjectSetPtr NewSet);
  void useServers(ServerViewPtr NewServers, Common::SteadyTime Now);

  // No call is sent to these data centres until they are left out again.
  void useUnreachable(std::set<std::string> DataCentres) {
    Unreachable = std::move(DataCentres);
  }

  // Never null.
  void useVersionPolicy(VersionPolicyPtr NewPolicy) {
    Versions = std::move(NewPolicy);
    ServersByVersion.rebuild(*Servers, *Versions);
  }

  // Refuses all calls from now on that may still be open at Time, because this
  // process stops then.
  void stopAt(Common::SteadyTime Time) { StopsAt = Time; }

  DispatchActions startCall(CallStart &&Start, Common::SteadyTime Now);
  // Ignores a reply to an attempt that is no longer open.
  DispatchActions handleReply(const CallReply &Reply, Common::SteadyTime Now);
  // Fails the attempts whose replies can no longer arrive.
  DispatchActions handleConnectionLost(const std::vector<AttemptId> &Lost,
                                       Common::SteadyTime Now);
  // Counts the attempts as failures of their servers, but goes on waiting for
  // the replies.
  void handleConnectionSilent(const std::vector<AttemptId> &Silent,
                              Common::SteadyTime Now) {
    for (const AttemptId Id : Silent)
      if (const auto Found = Attempts.find(Id); Found != Attempts.end())
        Records.attemptSilent(Found->second.Server.Server, Now);
  }
  // Records a load report that a node sent on its own, not with a reply.
  void handleLoadReport(const std::string &Server, const ServerLoad &Load,
                        Common::SteadyTime Now) {
    Records.handleLoadReport(Server, Load, Now);
  }
  // Cancels a call whose caller has disconnected.
  DispatchActions cancelCall(CallId Call, Common::SteadyTime Now);
  // Handles expired timers: hedges slow calls and fails calls whose deadline
  // has passed.
  DispatchActions runDue(Common::SteadyTime Now);
  // When runDue has to be called next; none while no call is open.
  std::optional<Common::SteadyTime> nextDue() const;

  std::size_t openCalls() const { return Calls.size(); }
  Budgets &budgets() { return AttemptBudgets; }
  Config::Version version() const { return ActiveVersion; }

private:
  struct OpenCall {
    CallStart Start;
    Config::ObjectSetPtr Set;
    Config::Version ConfigVersion = 0;
    std::string Service;
    Config::RequestKind Kind;
    Config::RetryRule Rule;
    Common::SteadyTime StartedAt;
    Common::SteadyTime Deadline;
    // The key of this call in Deadlines.
    Common::SteadyTime DueAt;
    std::optional<Common::SteadyTime> HedgeAt;
    int AttemptsLeft = 1;
    int AttemptsMade = 0;
    int Redirects = 0;
    // The last redirect goes to the server with the shortest expected wait and
    // has no wait limit.
    bool IsLastRedirect = false;
    // The point in time at which the latency target is missed, or the deadline
    // if there is no target. An answer before that is worth most.
    Common::SteadyTime TargetTime;
    // Whether calls of one kind differ in work.
    bool HasUnevenWork = false;
    // How long the call is expected to hold a slot of a server of usual speed.
    Common::Micros ExpectedCost{0};
    // Servers whose nodes refused the call because it would have had to wait.
    std::set<std::string> BusyServers;
    // The shortest wait estimated from the load that refusing nodes reported.
    std::optional<Common::Micros> MinWait;
    // Servers with an attempt of this call that is in flight or has failed.
    std::set<std::string> Excluded;
    std::vector<AttemptId> InFlight;
    std::string LastDataCentre;
    // Set once an attempt may have run. The result of the call then never says
    // that it did not run.
    std::optional<Common::ResultCode> UnknownOutcome;
    // The response of a server that failed the call, while another is tried.
    std::optional<CallReply> ServerError;
  };
  struct OpenAttempt {
    CallId Call = 0;
    ServerEntry Server;
    Common::SteadyTime SentAt;
    std::string Kind;
    // Whether no earlier attempt of the call reached a backend server.
    bool IsFirst = true;
  };
  // State that all calls of one request kind share.
  struct KindRecord {
    RecentLatency Latency;
  };
  using DueTimes = std::set<std::pair<Common::SteadyTime, CallId>>;

  // How long after its last answer the latency quantiles of a kind are used to
  // refuse calls. Later its calls are admitted again, as only admitted calls
  // can update the quantiles.
  static constexpr Common::Millis QuantileLifetime{1'000};
  // Upper bound of the latency quantile that serves as hedge delay. It keeps
  // hedges early while many answers come from slow servers.
  static constexpr int MaxHedgeDelayInMedians = 4;
  // A call that would wait for longer than its latency target divided by this
  // is first redirected to other servers.
  static constexpr int WaitLimitDivisor = 8;
  static constexpr Common::Millis DefaultWaitLimit{25};
  // Bounds of the time after which a refused caller may retry.
  static constexpr Common::Millis MinRetryAfter{100};
  static constexpr Common::Millis MaxRetryAfter{1'000};
  // Age up to which a report decides that a call cannot end in time.
  static constexpr Common::Millis WaitReportLifetime{500};
  // With no connection within the latency target divided by this, between the
  // bounds, another node is tried.
  static constexpr int ConnectLimitDivisor = 4;
  static constexpr Common::Millis MinConnectLimit{100};
  static constexpr Common::Millis MaxConnectLimit{300};
  // Bytes of the host and path that are reported for a call without a route.
  static constexpr std::size_t MaxUnroutedPathLength = 200;
  // Services further down the call chain may not retry on behalf of a retry.
  static constexpr int DownstreamAttemptsOfRetry = 1;
  static constexpr int UnlimitedAttempts = 100;

  std::optional<Common::ResultCode> reasonToRefuse(const OpenCall &Call,
                                                   Common::Micros Timeout,
                                                   Common::SteadyTime Now);
  void open(OpenCall &&Call, Common::Micros Timeout, Common::SteadyTime Now,
            DispatchActions &Actions);
  const ServerEntry *chooseServer(const OpenCall &Call, Common::SteadyTime Now);
  const ServerEntry *chooseAmong(const std::vector<ServerEntry> &Candidates,
                                 const OpenCall &Call, Common::SteadyTime Now);
  void sendAttempt(OpenCall &Call, const ServerEntry &Server,
                   Common::SteadyTime Now, DispatchActions &Actions);
  CallRequest makeRequest(const OpenCall &Call, AttemptId Attempt,
                          Common::SteadyTime Now) const;
  void armHedge(OpenCall &Call, Common::SteadyTime Now);
  void disarmHedge(OpenCall &Call);
  void sendHedge(OpenCall &Call, Common::SteadyTime Now,
                 DispatchActions &Actions);
  void resolveAttempt(AttemptId Id, const CallReply &Reply,
                      Common::SteadyTime Now, DispatchActions &Actions);
  // Removes the attempt and updates the record of its server; none if the
  // attempt is not open.
  std::optional<OpenAttempt> closeAttempt(AttemptId Id, const CallReply *Reply,
                                          Common::SteadyTime Now);
  void retryOrFinish(OpenCall &Call, CallReply Reply, Common::SteadyTime Now,
                     DispatchActions &Actions);
  void recordLatency(const OpenCall &Call, const OpenAttempt &FinishedAttempt,
                     Common::SteadyTime Now);
  void cancelInFlight(OpenCall &Call, Common::SteadyTime Now,
                      DispatchActions &Actions);
  void finish(CallId Call, CallReply Reply, DispatchActions &Actions);
  void fail(CallId Call, Common::ResultCode Code, DispatchActions &Actions);
  const std::string &chooseService(const Config::Route &Route);
  bool redirect(OpenCall &Call, const OpenAttempt &FinishedAttempt,
                const CallReply &Reply, Common::SteadyTime Now,
                DispatchActions &Actions);
  bool retryServerError(OpenCall &Call, const CallReply &Reply,
                        Common::SteadyTime Now, DispatchActions &Actions);
  std::optional<Common::Micros> waitLimit(const OpenCall &Call) const;
  // Whether the call can start before its deadline at the best server, as far
  // as a report tells.
  bool canEndInTime(OpenCall &Call, const ServerEntry &Server,
                    Common::SteadyTime Now) const;
  static std::optional<Common::Micros> connectLimit(const OpenCall &Call);
  // How long the refused caller should wait.
  static Common::Micros retryAfter(const OpenCall &Call);
  void learnCost(const OpenCall &Call, const CallReply &Reply);
  static bool isNodeRefusal(Common::ResultCode Code);
  static Common::Micros estimateWait(const ServerLoad &Load);
  BudgetUse budgetUse(const OpenCall &Call) const {
    return {Call.Service, Call.Kind.Name, Call.Rule.BudgetPercent};
  }
  static bool mayRetry(const OpenCall &Call, Common::ResultCode Code);

  std::string LocalDataCentre;
  Policy Choice;
  std::size_t OpenCallLimit;
  Config::Version ActiveVersion = 0;
  Config::ObjectSetPtr Set;
  ServerViewPtr Servers = std::make_shared<const ServerView>();
  std::set<std::string> Unreachable;
  VersionPolicyPtr Versions = std::make_shared<const VersionPolicy>();
  VersionedServers ServersByVersion;
  std::optional<Common::SteadyTime> StopsAt;
  std::unordered_map<CallId, OpenCall> Calls;
  std::unordered_map<AttemptId, OpenAttempt> Attempts;
  DueTimes Deadlines;
  DueTimes Hedges;
  ServerRecords Records;
  CostModel Costs;
  // Whether the active set declares differences in work within a kind.
  bool HasUnevenWork = false;
  std::unordered_map<std::string, KindRecord> Kinds;
  Budgets AttemptBudgets;
  // Round robin credit of each service of a split, by route and service.
  std::unordered_map<std::string, std::map<std::string, double>> SplitCredits;
  AttemptId NextAttempt = 1;
};

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::useSet(Config::Version NewVersion,
                                         Config::ObjectSetPtr NewSet) {
  ActiveVersion = NewVersion;
  Set = std::move(NewSet);
  std::erase_if(Kinds, [this](const auto &Entry) {
    return !Set->kinds().contains(Entry.first);
  });
  std::erase_if(SplitCredits, [this](const auto &Entry) {
    return !Set->routes().contains(Entry.first);
  });
  Records.useKinds(Set->kinds());
  Costs.useKinds(Set->kinds());
  HasUnevenWork = Set->hasUnevenWork();
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::useServers(ServerViewPtr NewServers,
                                             Common::SteadyTime Now) {
  Servers = std::move(NewServers);
  Records.useServers(*Servers, Now);
  ServersByVersion.rebuild(*Servers, *Versions);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions Dispatcher<Policy, Budgets>::startCall(CallStart &&Start,
                                                       Common::SteadyTime Now) {
  DispatchActions Actions;
  AnswerCaller Refusal;
  Refusal.Call = Start.Call;
  Refusal.ConfigVersion = ActiveVersion;
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
    Refusal.UnroutedPath =
        (Start.Host + Start.Path).substr(0, MaxUnroutedPathLength);
    return Refuse(Common::ResultCode::NoRoute);
  }
  OpenCall Call;
  Call.Set = Set;
  Call.ConfigVersion = ActiveVersion;
  Call.Service = chooseService(*Route);
  Call.Kind = Set->kinds().at(Route->Kind);
  Call.Rule = Set->retryRules().at(Call.Kind.Retry);
  const Common::Micros Timeout =
      std::min(Start.Timeout.value_or(Call.Kind.Deadline), Call.Kind.Deadline);
  if (const auto Code = reasonToRefuse(Call, Timeout, Now)) {
    Refusal.Service = std::move(Call.Service);
    Refusal.Timeout = Timeout;
    Refusal.LowQuantileLatency = Kinds[Call.Kind.Name].Latency.lowQuantile();
    Refusal.Kind = std::move(Call.Kind.Name);
    return Refuse(*Code);
  }
  Call.HasUnevenWork = HasUnevenWork;
  if (HasUnevenWork)
    Call.ExpectedCost = Costs.expected(Call.Kind.Name, Start.Body.size());
  Call.Start = std::move(Start);
  open(std::move(Call), Timeout, Now, Actions);
  return Actions;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
std::optional<Common::ResultCode> Dispatcher<Policy, Budgets>::reasonToRefuse(
    const OpenCall &Call, Common::Micros Timeout, Common::SteadyTime Now) {
  if (Calls.size() >= OpenCallLimit)
    return Common::ResultCode::QueueFull;
  const RecentLatency &Recent = Kinds[Call.Kind.Name].Latency;
  const bool IsTooShort = Recent.lowQuantile() &&
                          Timeout < *Recent.lowQuantile() &&
                          Recent.isFresh(Now, QuantileLifetime);
  if (Timeout <= Common::Micros(0) || IsTooShort)
    return Common::ResultCode::DeadlineTooClose;
  if (StopsAt && Now + Timeout > *StopsAt)
    return Common::ResultCode::Draining;
  return std::nullopt;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::open(OpenCall &&Call, Common::Micros Timeout,
                                       Common::SteadyTime Now,
                                       DispatchActions &Actions) {
  const CallId Id = Call.Start.Call;
  Call.StartedAt = Now;
  Call.Deadline = Now + Timeout;
  Call.TargetTime = Call.Kind.TargetLatency.count() > 0
                        ? Now + std::min(Call.Kind.TargetLatency, Timeout)
                        : Call.Deadline;
  Call.AttemptsLeft = std::min(
      Call.Start.AttemptsLeft.value_or(Call.Rule.Attempts), Call.Rule.Attempts);
  Call.DueAt = Call.Deadline;
  Deadlines.emplace(Call.DueAt, Id);
  OpenCall &Opened = Calls.emplace(Id, std::move(Call)).first->second;
  // Calls that cannot be retried add nothing to the retry budget.
  if (Opened.AttemptsLeft > 1)
    AttemptBudgets.recordFirstAttempt(budgetUse(Opened), Now);
  const ServerEntry *Server = chooseServer(Opened, Now);
  if (!Server) {
    fail(Id, Common::ResultCode::NoLiveServer, Actions);
    return;
  }
  if (Opened.HasUnevenWork && !canEndInTime(Opened, *Server, Now)) {
    fail(Id, Common::ResultCode::DeadlineTooClose, Actions);
    return;
  }
  sendAttempt(Opened, *Server, Now, Actions);
  armHedge(Opened, Now);
}

// Smooth weighted round robin: each call adds the weight of every service to
// its credit and goes to the service with the most credit. The sum of the
// weights is then subtracted from that credit.
template <ChoicePolicy Policy, RetryBudgets Budgets>
const std::string &
Dispatcher<Policy, Budgets>::chooseService(const Config::Route &Route) {
  if (Route.Split.empty())
    return Route.Service;
  auto &Credits = SplitCredits[Route.Name];
  double TotalWeight = 0;
  const Config::WeightedService *Best = nullptr;
  for (const Config::WeightedService &Weighted : Route.Split) {
    TotalWeight += Weighted.Weight;
    Credits[Weighted.Service] += Weighted.Weight;
    if (Weighted.Weight > 0 &&
        (!Best || Credits[Weighted.Service] > Credits[Best->Service]))
      Best = &Weighted;
  }
  Credits[Best->Service] -= TotalWeight;
  return Best->Service;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
const ServerEntry *
Dispatcher<Policy, Budgets>::chooseServer(const OpenCall &Call,
                                          Common::SteadyTime Now) {
  // The fallback chain has no cycle, as the set was validated.
  for (std::string Name = Call.Service; !Name.empty();
       Name = Call.Set->services().at(Name).Fallback) {
    const auto Found = Servers->ByService.find(Name);
    if (Found == Servers->ByService.end())
      continue;
    DividedServers *Divided = ServersByVersion.find(Name);
    if (!Divided) {
      if (const ServerEntry *Chosen = chooseAmong(Found->second, Call, Now))
        return Chosen;
      continue;
    }
    for (const std::vector<ServerEntry> *Candidates : Divided->candidates())
      if (const ServerEntry *Chosen = chooseAmong(*Candidates, Call, Now)) {
        Divided->onChosen(*Chosen);
        return Chosen;
      }
  }
  return nullptr;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
const ServerEntry *Dispatcher<Policy, Budgets>::chooseAmong(
    const std::vector<ServerEntry> &Candidates, const OpenCall &Call,
    Common::SteadyTime Now) {
  const std::optional<std::size_t> Chosen = Choice.choose(
      {Candidates, Records, LocalDataCentre, Call.Excluded, Now, Call.Kind.Name,
       std::chrono::duration_cast<Common::Micros>(Call.TargetTime - Now),
       Unreachable, Call.HasUnevenWork, Call.ExpectedCost});
  return Chosen ? &Candidates[*Chosen] : nullptr;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::sendAttempt(OpenCall &Call,
                                              const ServerEntry &Server,
                                              Common::SteadyTime Now,
                                              DispatchActions &Actions) {
  const AttemptId Attempt = NextAttempt++;
  ++Call.AttemptsMade;
  --Call.AttemptsLeft;
  Call.InFlight.push_back(Attempt);
  Call.Excluded.insert(Server.Server);
  Attempts.emplace(Attempt,
                   OpenAttempt{Call.Start.Call, Server, Now, Call.Kind.Name,
                               Call.AttemptsMade == 1});
  Records.attemptSent(Server.Server, Call.Kind.Name, Now);
  CallRequest Request = makeRequest(Call, Attempt, Now);
  Request.Server = Server.Server;
  Actions.push_back(SendAttempt{
      Server.Node, std::move(Request), Call.AttemptsMade + Call.Redirects,
      Server.DataCentre, connectLimit(Call),
      mayRetry(Call, Common::ResultCode::ConnectionLost)});
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
          ? DownstreamAttemptsOfRetry
          : Call.Start.AttemptsLeft.value_or(UnlimitedAttempts);
  Request.TargetTimeLeft =
      std::chrono::duration_cast<Common::Micros>(Call.TargetTime - Now);
  Request.TargetLatency = Call.Kind.TargetLatency;
  Request.Priority = Call.Start.Priority.value_or(Call.Kind.Priority);
  Request.Tenant = Call.Start.Tenant;
  Request.ExpectedCost = Call.ExpectedCost;
  Request.WaitLimit = waitLimit(Call);
  Request.LongLane = Call.Kind.LongLane;
  Request.Idempotent = Call.Kind.Idempotent;
  Request.CorrelationId = Call.Start.CorrelationId;
  Request.Caller = Call.Start.Caller;
  Request.ConfigVersion = Call.ConfigVersion;
  return Request;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::armHedge(OpenCall &Call,
                                           Common::SteadyTime Now) {
  if (!Call.Rule.HedgeAfter || !Call.Kind.Idempotent || Call.Kind.LongLane ||
      Call.AttemptsLeft <= 0)
    return;
  const RecentLatency &Recent = Kinds[Call.Kind.Name].Latency;
  Common::Micros Delay = *Call.Rule.HedgeAfter;
  if (Recent.highQuantile() && Recent.median())
    Delay =
        std::max(Delay, std::min(*Recent.highQuantile(),
                                 MaxHedgeDelayInMedians * *Recent.median()));
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
void Dispatcher<Policy, Budgets>::sendHedge(OpenCall &Call,
                                            Common::SteadyTime Now,
                                            DispatchActions &Actions) {
  disarmHedge(Call);
  if (Call.AttemptsLeft <= 0)
    return;
  const ServerEntry *Server = chooseServer(Call, Now);
  if (!Server || !AttemptBudgets.tryConsume(budgetUse(Call), Now))
    return;
  sendAttempt(Call, *Server, Now, Actions);
  // The second server may be slow as well.
  armHedge(Call, Now);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
bool Dispatcher<Policy, Budgets>::mayRetry(const OpenCall &Call,
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
  auto Entry = Attempts.extract(Id);
  if (Entry.empty())
    return std::nullopt;
  OpenAttempt &FinishedAttempt = Entry.mapped();
  Records.attemptEnded(FinishedAttempt.Server.Server,
                       {FinishedAttempt.SentAt, FinishedAttempt.Kind, Reply},
                       Now);
  return std::move(FinishedAttempt);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::resolveAttempt(AttemptId Id,
                                                 const CallReply &Reply,
                                                 Common::SteadyTime Now,
                                                 DispatchActions &Actions) {
  const std::optional<OpenAttempt> FinishedAttempt =
      closeAttempt(Id, &Reply, Now);
  if (!FinishedAttempt)
    return;
  OpenCall &Call = Calls.at(FinishedAttempt->Call);
  std::erase(Call.InFlight, Id);
  // If a retry after a server error fails, the caller gets the first response,
  // so its data centre stays.
  if (!Call.ServerError || Reply.Result == Common::ResultCode::Ok)
    Call.LastDataCentre = FinishedAttempt->Server.DataCentre;
  if (Reply.Result == Common::ResultCode::Ok &&
      retryServerError(Call, Reply, Now, Actions))
    return;
  if (Reply.Result == Common::ResultCode::Ok) {
    recordLatency(Call, *FinishedAttempt, Now);
    learnCost(Call, Reply);
    cancelInFlight(Call, Now, Actions);
    finish(FinishedAttempt->Call, Reply, Actions);
    return;
  }
  if (!Common::isNotRun(Reply.Result))
    Call.UnknownOutcome = Reply.Result;
  if (redirect(Call, *FinishedAttempt, Reply, Now, Actions))
    return;
  // Another attempt in flight may still succeed.
  if (Call.InFlight.empty())
    retryOrFinish(Call, Reply, Now, Actions);
}

// Load pattern: the servers within reach have more work than fits in the time
// of the call. To send it would cost two nodes its time and find no slot. All
// that is less clear is left to the server-side node, which knows which kinds
// are behind.
template <ChoicePolicy Policy, RetryBudgets Budgets>
bool Dispatcher<Policy, Budgets>::canEndInTime(OpenCall &Call,
                                               const ServerEntry &Server,
                                               Common::SteadyTime Now) const {
  const ServerRecord *Record = Records.find(Server.Server);
  const auto Wait =
      Record ? Record->reportedWait(Now, WaitReportLifetime) : std::nullopt;
  if (!Wait || Now + *Wait < Call.Deadline)
    return true;
  Call.MinWait = *Wait;
  return false;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
std::optional<Common::Micros>
Dispatcher<Policy, Budgets>::connectLimit(const OpenCall &Call) {
  if (!Call.HasUnevenWork || Call.Rule.Redirects == 0)
    return std::nullopt;
  return std::clamp<Common::Micros>(Call.Kind.TargetLatency /
                                        ConnectLimitDivisor,
                                    MinConnectLimit, MaxConnectLimit);
}

// Callers that are refused together would also return together: the golden
// ratio distributes successive calls evenly over the second half of the wait.
template <ChoicePolicy Policy, RetryBudgets Budgets>
Common::Micros Dispatcher<Policy, Budgets>::retryAfter(const OpenCall &Call) {
  const auto Wait = std::clamp<Common::Micros>(
      Call.MinWait.value_or(Common::Micros(0)), MinRetryAfter, MaxRetryAfter);
  if (!Call.HasUnevenWork)
    return Wait;
  const double Turns =
      static_cast<double>(Call.Start.Call) * std::numbers::phi_v<double>;
  return Wait / 2 + std::chrono::duration_cast<Common::Micros>(
                        (Turns - std::floor(Turns)) * (Wait / 2));
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::learnCost(const OpenCall &Call,
                                            const CallReply &Reply) {
  if (Call.HasUnevenWork && Reply.HttpStatus < MinServerErrorStatus)
    Costs.addSample({Call.Kind.Name, Call.Start.Body.size(), Reply.ServiceTime,
                     Reply.Load.SlownessPercent});
}

// Whether the node itself refused, so that nothing reached its backend server.
template <ChoicePolicy Policy, RetryBudgets Budgets>
bool Dispatcher<Policy, Budgets>::isNodeRefusal(Common::ResultCode Code) {
  return Common::isNotRun(Code) && Code != Common::ResultCode::ServerShed;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
Common::Micros
Dispatcher<Policy, Budgets>::estimateWait(const ServerLoad &Load) {
  const int CallsAhead = Load.Queued + Load.BusySlots - Load.Slots + 1;
  return std::max(CallsAhead, 0) * Load.SlotTime / std::max(Load.Slots, 1);
}

// Load pattern: demand changes within a second, so that what a caller-side node
// knows of remote queues is out of date. The server-side node knows its own
// queue exactly: it refuses the call at once if the wait would be too long, and
// the call is redirected to a server with free capacity.
template <ChoicePolicy Policy, RetryBudgets Budgets>
std::optional<Common::Micros>
Dispatcher<Policy, Budgets>::waitLimit(const OpenCall &Call) const {
  if (Call.Rule.Redirects == 0 || Call.IsLastRedirect)
    return std::nullopt;
  // A retry after a server error must not queue: the caller can get the first
  // server's response at once.
  if (Call.ServerError)
    return Common::Micros(0);
  if (Call.Kind.TargetLatency.count() == 0)
    return DefaultWaitLimit;
  return Call.Kind.TargetLatency / WaitLimitDivisor;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
bool Dispatcher<Policy, Budgets>::redirect(OpenCall &Call,
                                           const OpenAttempt &FinishedAttempt,
                                           const CallReply &Reply,
                                           Common::SteadyTime Now,
                                           DispatchActions &Actions) {
  if (Call.Rule.Redirects == 0 || !isNodeRefusal(Reply.Result) ||
      !Call.InFlight.empty())
    return false;
  if (Reply.Load.Slots > 0) {
    const Common::Micros Wait = estimateWait(Reply.Load);
    Call.MinWait = std::min(Wait, Call.MinWait.value_or(Wait));
  }
  if (Reply.Result == Common::ResultCode::WouldWait) {
    Call.BusyServers.insert(FinishedAttempt.Server.Server);
    Call.Excluded.erase(FinishedAttempt.Server.Server);
  }
  // A last redirect that failed for another reason than lack of capacity, such
  // as a draining node, may be redirected again.
  const bool LacksCapacity =
      Reply.Result == Common::ResultCode::WouldWait ||
      Reply.Result == Common::ResultCode::DeadlineTooClose ||
      Reply.Result == Common::ResultCode::QueueFull;
  if ((Call.IsLastRedirect && LacksCapacity) || Call.Deadline <= Now ||
      Call.Redirects > Call.Rule.Redirects)
    return false;
  const ServerEntry *Server = chooseServer(Call, Now);
  if (!Server)
    return false;
  // If the best server left has refused the call already, the call waits there.
  Call.IsLastRedirect = Call.BusyServers.contains(Server->Server) ||
                        ++Call.Redirects >= Call.Rule.Redirects;
  if (Call.IsLastRedirect && Call.ServerError)
    return false;
  // The refused attempt reached no backend server, so it does not count.
  ++Call.AttemptsLeft;
  --Call.AttemptsMade;
  sendAttempt(Call, *Server, Now, Actions);
  return true;
}

// Load pattern: a server fails some of its calls although its health checks
// pass. An idempotent call is retried at another server within the retry
// budget; if there is none, the caller gets the first server's response.
template <ChoicePolicy Policy, RetryBudgets Budgets>
bool Dispatcher<Policy, Budgets>::retryServerError(OpenCall &Call,
                                                   const CallReply &Reply,
                                                   Common::SteadyTime Now,
                                                   DispatchActions &Actions) {
  if (Reply.HttpStatus < MinServerErrorStatus || Call.Rule.Redirects == 0 ||
      !Call.Kind.Idempotent || Call.AttemptsLeft <= 0 ||
      !Call.InFlight.empty() || Call.Deadline <= Now)
    return false;
  const ServerEntry *Server = chooseServer(Call, Now);
  if (!Server || !AttemptBudgets.tryConsume(budgetUse(Call), Now))
    return false;
  Call.ServerError = Reply;
  sendAttempt(Call, *Server, Now, Actions);
  return true;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions
Dispatcher<Policy, Budgets>::cancelCall(CallId Call, Common::SteadyTime Now) {
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
  // Calls that nodes refused were already redirected as far as possible.
  const bool WasTriedElsewhere =
      Call.ServerError ||
      (Call.Rule.Redirects > 0 && isNodeRefusal(Reply.Result));
  const bool ShouldRetry =
      Call.Deadline > Now && !WasTriedElsewhere && mayRetry(Call, Reply.Result);
  const ServerEntry *Server = ShouldRetry ? chooseServer(Call, Now) : nullptr;
  if (Server && AttemptBudgets.tryConsume(budgetUse(Call), Now)) {
    sendAttempt(Call, *Server, Now, Actions);
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

// Records first attempts only, also when a hedge was faster. Otherwise each
// hedge would lower the quantiles and so make the next hedge start earlier.
template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::recordLatency(
    const OpenCall &Call, const OpenAttempt &FinishedAttempt,
    Common::SteadyTime Now) {
  if (FinishedAttempt.IsFirst)
    Kinds[Call.Kind.Name].Latency.add(
        std::chrono::duration_cast<Common::Micros>(Now -
                                                   FinishedAttempt.SentAt),
        Now);
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
void Dispatcher<Policy, Budgets>::cancelInFlight(OpenCall &Call,
                                                 Common::SteadyTime Now,
                                                 DispatchActions &Actions) {
  for (const AttemptId Id : Call.InFlight)
    if (const auto FinishedAttempt = closeAttempt(Id, nullptr, Now)) {
      recordLatency(Call, *FinishedAttempt, Now);
      Actions.push_back(CancelAttempt{FinishedAttempt->Server.Node, Id});
    }
  Call.InFlight.clear();
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions
Dispatcher<Policy, Budgets>::handleReply(const CallReply &Reply,
                                         Common::SteadyTime Now) {
  DispatchActions Actions;
  resolveAttempt(Reply.Attempt, Reply, Now, Actions);
  return Actions;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions Dispatcher<Policy, Budgets>::handleConnectionLost(
    const std::vector<AttemptId> &Lost, Common::SteadyTime Now) {
  DispatchActions Actions;
  for (const AttemptId Id : Lost) {
    const auto Found = Attempts.find(Id);
    if (Found == Attempts.end())
      continue;
    CallReply LostReply;
    LostReply.Attempt = Id;
    LostReply.Server = Found->second.Server.Server;
    LostReply.Result = Common::ResultCode::ConnectionLost;
    resolveAttempt(Id, LostReply, Now, Actions);
  }
  return Actions;
}

template <ChoicePolicy Policy, RetryBudgets Budgets>
DispatchActions Dispatcher<Policy, Budgets>::runDue(Common::SteadyTime Now) {
  DispatchActions Actions;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const CallId Id = Deadlines.begin()->second;
    OpenCall &Call = Calls.at(Id);
    const Common::SteadyTime AnswerDeadline =
        Call.Deadline + Call.Kind.AnswerSlack;
    if (!Call.InFlight.empty() && Now < AnswerDeadline) {
      Deadlines.erase(Deadlines.begin());
      Call.DueAt = AnswerDeadline;
      Deadlines.emplace(Call.DueAt, Id);
      continue;
    }
    cancelInFlight(Call, Now, Actions);
    fail(Id, Common::ResultCode::DeadlinePassed, Actions);
  }
  while (!Hedges.empty() && Hedges.begin()->first <= Now)
    sendHedge(Calls.at(Hedges.begin()->second), Now, Actions);
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
  auto Entry = Calls.extract(Call);
  disarmHedge(Entry.mapped());
  OpenCall &Finished = Entry.mapped();
  Deadlines.erase(std::pair(Finished.DueAt, Call));
  AnswerCaller Answer;
  Answer.Call = Call;
  Answer.Attempts = Finished.AttemptsMade;
  Answer.ConfigVersion = Finished.ConfigVersion;
  Answer.Timeout = std::chrono::duration_cast<Common::Micros>(
      Finished.Deadline - Finished.StartedAt);
  if (Common::isNotRun(Reply.Result))
    Answer.RetryAfter = retryAfter(Finished);
  Answer.ExpectedCost = Finished.ExpectedCost;
  Answer.Reply = std::move(Reply);
  Answer.Service = std::move(Finished.Service);
  Answer.Kind = std::move(Finished.Kind.Name);
  Answer.DataCentre = std::move(Finished.LastDataCentre);
  Actions.push_back(std::move(Answer));
}

} // namespace Routing
