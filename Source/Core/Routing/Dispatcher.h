#pragma once

#include <algorithm>
#include <map>
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
};
using DispatchAction = std::variant<SendAttempt, CancelAttempt, AnswerCaller>;
using DispatchActions = std::vector<DispatchAction>;

// The near side of calls: finds the route, chooses a server, and tries again
// where that is safe. It has no clock, socket or thread of its own.
template <ChoicePolicy Policy> class Dispatcher {
public:
  Dispatcher(std::string OwnDataCentre, Policy Choice)
      : OwnDataCentre(std::move(OwnDataCentre)), Choice(std::move(Choice)) {}

  // Calls that have begun keep the set they began with.
  void useSet(Config::Version Number, Config::ObjectSetPtr NewSet) {
    InForce = Number;
    Set = std::move(NewSet);
  }
  void useServers(ServerViewPtr NewServers) { Servers = std::move(NewServers); }

  DispatchActions begin(CallStart &&Start, Common::SteadyTime Now);
  // A reply to an attempt that is no longer known is dropped.
  DispatchActions reply(const CallReply &Reply, Common::SteadyTime Now);
  // The connection to a node is gone: its attempts have no answer to come.
  DispatchActions connectionLost(const NodeAddress &Node,
                                 Common::SteadyTime Now);
  // Ends calls whose deadline has passed.
  DispatchActions expire(Common::SteadyTime Now);
  std::optional<Common::SteadyTime> nextDeadline() const;

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
    int AttemptsLeft = 1;
    int AttemptsMade = 0;
    std::set<std::string> Excluded;
    AttemptId Current = 0;
  };
  struct OpenAttempt {
    CallId Call = 0;
    ServerEntry Server;
    Common::SteadyTime SentAt;
  };

  void attempt(OpenCall &Call, Common::SteadyTime Now,
               DispatchActions &Actions);
  void finish(CallId Call, CallReply Reply, DispatchActions &Actions);
  void fail(CallId Call, Common::ResultCode Code, DispatchActions &Actions);
  void settle(AttemptId Id, const CallReply &Reply, Common::SteadyTime Now,
              DispatchActions &Actions);
  static bool mayTryAgain(const OpenCall &Call, Common::ResultCode Code);

  std::string OwnDataCentre;
  Policy Choice;
  Config::Version InForce = 0;
  Config::ObjectSetPtr Set;
  ServerViewPtr Servers = std::make_shared<const ServerView>();
  std::unordered_map<CallId, OpenCall> Calls;
  std::unordered_map<AttemptId, OpenAttempt> Attempts;
  std::set<std::pair<Common::SteadyTime, CallId>> Deadlines;
  ServerRecords Records;
  AttemptId NextAttempt = 1;
};

template <ChoicePolicy Policy>
DispatchActions Dispatcher<Policy>::begin(CallStart &&Start,
                                          Common::SteadyTime Now) {
  DispatchActions Actions;
  const CallId Id = Start.Call;
  OpenCall Call;
  Call.Start = std::move(Start);
  Call.Set = Set;
  Call.Number = InForce;
  const Config::Route *Route =
      Set ? Set->findRoute(Call.Start.Method, Call.Start.Path) : nullptr;
  if (!Route) {
    Calls.emplace(Id, std::move(Call));
    fail(Id,
         Set ? Common::ResultCode::NoRoute
             : Common::ResultCode::NoConfiguration,
         Actions);
    return Actions;
  }
  Call.Service = Route->Service;
  Call.Kind = Set->kinds().at(Route->Kind);
  Call.Rule = Set->retryRules().at(Call.Kind.Retry);
  const Common::Micros Limit = std::min(
      Call.Start.Limit.value_or(Call.Kind.Deadline), Call.Kind.Deadline);
  Call.Deadline = Now + Limit;
  Call.AttemptsLeft = std::min(
      Call.Start.AttemptsLeft.value_or(Call.Rule.Attempts), Call.Rule.Attempts);
  Deadlines.emplace(Call.Deadline, Id);
  OpenCall &Opened = Calls.emplace(Id, std::move(Call)).first->second;
  attempt(Opened, Now, Actions);
  return Actions;
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::attempt(OpenCall &Call, Common::SteadyTime Now,
                                 DispatchActions &Actions) {
  const CallId Id = Call.Start.Call;
  std::optional<std::size_t> Chosen;
  const std::vector<ServerEntry> *Candidates = nullptr;
  // The fallback chain has no circle: the set was checked.
  for (std::string Name = Call.Service; !Name.empty() && !Chosen;
       Name = Call.Set->services().at(Name).Fallback) {
    const auto Found = Servers->ByService.find(Name);
    if (Found == Servers->ByService.end())
      continue;
    Candidates = &Found->second;
    Chosen = Choice.choose(
        {*Candidates, Records, OwnDataCentre, Call.Excluded, Now});
  }
  if (!Chosen) {
    fail(Id, Common::ResultCode::NoLiveServer, Actions);
    return;
  }
  const ServerEntry &Server = (*Candidates)[*Chosen];
  const AttemptId Attempt = NextAttempt++;
  ++Call.AttemptsMade;
  --Call.AttemptsLeft;
  Call.Current = Attempt;
  Attempts.emplace(Attempt, OpenAttempt{Id, Server, Now});
  ++Records[Server.Server].OwnInFlight;

  SendAttempt Sent;
  Sent.Node = Server.Node;
  Sent.Request.Attempt = Attempt;
  Sent.Request.Service = Call.Service;
  Sent.Request.Kind = Call.Kind.Name;
  Sent.Request.Method = Call.Start.Method;
  Sent.Request.Target = Call.Start.Target;
  Sent.Request.Body = Call.Start.Body;
  Sent.Request.Fields = Call.Start.Fields;
  Sent.Request.Remaining =
      std::chrono::duration_cast<Common::Micros>(Call.Deadline - Now);
  Sent.Request.AttemptsLeft = Call.AttemptsLeft;
  Sent.Request.LongLane = Call.Kind.LongLane;
  Sent.Request.Idempotent = Call.Kind.Idempotent;
  Sent.Request.CorrelationId = Call.Start.CorrelationId;
  Sent.Request.Caller = Call.Start.Caller;
  Sent.Request.ConfigVersion = Call.Number;
  Actions.push_back(std::move(Sent));
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
void Dispatcher<Policy>::settle(AttemptId Id, const CallReply &Reply,
                                Common::SteadyTime Now,
                                DispatchActions &Actions) {
  const auto Node = Attempts.extract(Id);
  if (Node.empty())
    return;
  const OpenAttempt &Ended = Node.mapped();
  ServerRecord &Record = Records[Ended.Server.Server];
  --Record.OwnInFlight;
  if (Reply.Load.Slots > 0)
    Record.Reported = Reply.Load;

  const auto Found = Calls.find(Ended.Call);
  if (Found == Calls.end())
    return;
  OpenCall &Call = Found->second;
  if (Reply.Result == Common::ResultCode::Ok ||
      !mayTryAgain(Call, Reply.Result) || Call.Deadline <= Now) {
    finish(Ended.Call, Reply, Actions);
    return;
  }
  Call.Excluded.insert(Ended.Server.Server);
  attempt(Call, Now, Actions);
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
  std::vector<AttemptId> Lost;
  for (const auto &[Id, Each] : Attempts)
    if (Each.Server.Node == Node)
      Lost.push_back(Id);
  for (const AttemptId Id : Lost) {
    CallReply Unknown;
    Unknown.Attempt = Id;
    Unknown.Result = Common::ResultCode::ConnectionLost;
    settle(Id, Unknown, Now, Actions);
  }
  return Actions;
}

template <ChoicePolicy Policy>
DispatchActions Dispatcher<Policy>::expire(Common::SteadyTime Now) {
  DispatchActions Actions;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const CallId Id = Deadlines.begin()->second;
    const AttemptId Current = Calls.at(Id).Current;
    const auto Open = Attempts.find(Current);
    if (Open != Attempts.end()) {
      Actions.push_back(CancelAttempt{Open->second.Server.Node, Current});
      --Records[Open->second.Server.Server].OwnInFlight;
      Attempts.erase(Open);
    }
    fail(Id, Common::ResultCode::DeadlinePassed, Actions);
  }
  return Actions;
}

template <ChoicePolicy Policy>
std::optional<Common::SteadyTime> Dispatcher<Policy>::nextDeadline() const {
  if (Deadlines.empty())
    return std::nullopt;
  return Deadlines.begin()->first;
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
  const auto Node = Calls.extract(Call);
  Deadlines.erase(std::pair(Node.mapped().Deadline, Call));
  Actions.push_back(
      AnswerCaller{Call, std::move(Reply), Node.mapped().AttemptsMade});
}

} // namespace Routing
