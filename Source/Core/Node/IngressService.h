#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include <spdlog/spdlog.h>

#include "Http/EdgeServer.h"
#include "Kernel/Host.h"
#include "Node/CallResponse.h"
#include "Node/CallerService.h"
#include "Node/ClaimedCall.h"
#include "Node/MemoryShares.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Node/ServiceSetting.h"
#include "Once/PendingCalls.h"
#include "Routing/Dispatcher.h"
#include "Tenants/TenantGate.h"

namespace Node {

// Accepts HTTP requests from callers and routes each one as a call: claims the
// key where the kind needs one, sends the attempts and answers the caller.
template <Routing::ChoicePolicy Policy, Kernel::MessageSink<PeersMessage> Peers,
          Kernel::MessageSink<MembersMessage> Members,
          Kernel::MessageSink<ClaimsMessage> Claims,
          Kernel::MessageSink<MetricsMessage> Metrics,
          Kernel::MessageSink<AdminMessage> Admin,
          CallCodec Codec = NativeCallCodec,
          Routing::RetryBudgets Budgets = Routing::KindBudgets>
class IngressService {
public:
  using Message = IngressMessage;

  struct Sinks {
    Peers ToPeers;
    Members ToMembers;
    Claims ToClaims;
    Metrics ToMetrics;
    Admin ToAdmin;
    // Closed if the nodes do not share the quotas of tenants.
    Kernel::Address<QuotaMessage> ToQuota = {};
  };

  // Setting is where the service on this VM is stated, if that may change.
  IngressService(Kernel::Context Context, const NodeSettings &Settings,
                 Policy Choice, Sinks Targets, Codec HttpCodec = Codec(),
                 Budgets RetryBudget = Budgets(),
                 std::optional<ServiceSetting> Setting = {})
      : Task(Context.ServiceTask), Settings(Settings),
        Targets(std::move(Targets)), HttpCodec(std::move(HttpCodec)),
        Calls(Settings.DataCentre, std::move(Choice), Settings.OpenCallLimit,
              std::move(RetryBudget)),
        Gate(Settings.Quota), Setting(std::move(Setting)) {
    if constexpr (CallerNamingCodec<Codec>)
      Caller = CallerService(this->HttpCodec.service(),
                             std::chrono::system_clock::now());
  }

  void start() {
    Http::EdgeLimits Limits;
    Limits.BodyBytes = Settings.BodyLimit;
    Listener =
        Http::EdgeServerBuilder(Task)
            .address(Settings.CallAddress)
            .port(Settings.CallPort)
            .limits(Limits)
            .capacity(callerCapacity(Settings))
            .onRequest([this](Http::ExchangeId Id, Http::Request Request) {
              handleRequest(Id, std::move(Request));
            })
            .onCallerDisconnected([this](Http::ExchangeId Id) {
              act(Calls.cancelCall(static_cast<Routing::CallId>(Id), now()));
            })
            .build();
    spdlog::info("event=ingress-listening address={}:{}", Settings.Address,
                 Listener->port());
    if (Settings.Quota.isEnforced())
      reportDemand();
  }

  void handle(Message Content) {
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
    armTimer();
  }

  // Refuses the calls that may be open for longer than the node runs. The other
  // calls are accepted until the server side has drained: some callers have not
  // yet noticed that the node leaves, and the backend server makes calls while
  // it runs one.
  void prepareStop(Common::SteadyTime Deadline) {
    Calls.stopAt(Deadline - WriteOutTime);
    Clock.after(Settings.LeaveDelay, [this] { Listener->drainConnections(); });
  }

  // Answers every open call before the node stops; new calls are refused.
  void drain(std::function<void()> Done) {
    OnDrained = std::move(Done);
    refuseNewCalls();
  }

  void stop() {
    for (const auto &[Call, Open] : OpenCalls)
      spdlog::warn("event=call-cut id={} exchange={} age-us={} "
                   "reason=\"the node stops\"",
                   Open.CorrelationId, Call, microsSince(Open.Arrived));
    Listener.reset();
  }

private:
  struct OpenCall {
    std::string CorrelationId;
    std::string Caller;
    Common::SteadyTime Arrived;
    // Set on arrival for claimed calls only; other calls get them from routing.
    std::string Service;
    std::string Kind;
    std::string Tenant = {};
  };

  // Left for the callers to receive the last answers.
  static constexpr Common::Millis WriteOutTime{200};
  static constexpr std::size_t MaxBufferedSamples = 256;
  static constexpr Common::Millis SampleInterval{250};
  // Bounds the cost of looking, however many requests arrive.
  static constexpr Common::Millis SettingsLookInterval{1};
  // How long after the deadline the decision on a claim may arrive before the
  // call is answered without it.
  static constexpr Common::Millis ClaimSlack{100};

  void onMessage(ConfigAccepted &Event) {
    if (Event.Newest.SetVersion <= Calls.version())
      return;
    Set = Event.Newest.Set;
    Calls.useSet(Event.Newest.SetVersion, Event.Newest.Set);
    Gate.useSet(*Event.Newest.Set, now());
    Targets.ToQuota.post(Event);
    if (const auto &Limits = Set->callerLimits())
      Listener->useLimits({Limits->HeaderBytes, Limits->BodyBytes,
                           Limits->HeaderTimeout, Limits->IdleTimeout});
    Targets.ToAdmin.post(VersionInForce{Event.Newest.SetVersion});
    Targets.ToMembers.post(VersionInForce{Event.Newest.SetVersion});
  }
  void onMessage(const CheckSettings &Event) {
    if (Setting && (Setting->HasChanged(now()) || Event.IsSignalled))
      readServiceSetting();
  }
  void onMessage(const LocalServerAnnounced &Event) {
    Caller.handleAnnouncement(Event.Service, Event.ServerStart);
    useCallerService("announcement");
  }
  void onMessage(const LoadReceived &Event) {
    Calls.handleLoadReport(Event.Server, Event.Load, now());
  }
  void onMessage(ServersChanged &Event) {
    Calls.useServers(Event.Servers, now());
    if constexpr (requires { Calls.budgets().setNodeCount(Event.NodeCount); })
      Calls.budgets().setNodeCount(Event.NodeCount);
    Gate.quotas().setNodeCount(Event.NodeCount);
  }
  void onMessage(const QuotaGranted &Event) {
    Gate.quotas().useGrants(Event.Granted, now());
  }
  void onMessage(DataCentresUnreachable &Event) {
    Calls.useUnreachable(std::move(Event.DataCentres));
  }
  void onMessage(VersionPolicyChanged &Event) {
    Calls.useVersionPolicy(std::move(Event.Policy));
  }
  void onMessage(ReplyArrived &Event) {
    act(Calls.handleReply(Event.Reply, now()));
  }
  void onMessage(NodeLost &Event) {
    act(Calls.handleConnectionLost(Event.Attempts, now()));
  }

  void onMessage(const NodeSilent &Event) {
    Calls.handleConnectionSilent(Event.Attempts, now());
  }

  void onMessage(ClaimDecided &Event) {
    const bool IsWon =
        Event.Code == Common::ResultCode::Ok && !Event.RecordedReply;
    auto Released = Pending.release(Event.Call, IsWon, now());
    if (!Released) {
      // The caller was answered already, so the call must not run any more.
      if (IsWon)
        endClaim(Event.Call, Common::ResultCode::ClaimUnavailable);
      return;
    }
    if (IsWon)
      ClaimedCalls.insert(Event.Call);
    if (Released->MayRun) {
      Released->Held.Timeout = std::chrono::duration_cast<Common::Micros>(
          Released->Deadline - now());
      act(Calls.startCall(std::move(Released->Held), now()));
      return;
    }
    Routing::CallReply Answer =
        Event.RecordedReply.value_or(Routing::CallReply());
    if (!Event.RecordedReply)
      Answer.Result = IsWon ? Common::ResultCode::ClaimUnavailable : Event.Code;
    answer(Event.Call, std::move(Answer));
  }

  void refuseNewCalls() {
    spdlog::info("event=refusing-calls open-calls={} open-requests={}",
                 Calls.openCalls(), Listener->openExchanges());
    Draining = true;
    Listener->drainConnections();
    Listener->stopListening();
    finishDrainIfIdle();
  }

  // No signal need tell that the settings have changed, so each call needs a
  // recent look at them.
  void lookAtSettings() {
    const Common::SteadyTime Now = now();
    if (!Setting || Now < NextSettingsLook)
      return;
    NextSettingsLook = Now + SettingsLookInterval;
    if (Setting->HasChanged(Now))
      readServiceSetting();
  }

  // Keeps the service of the last valid settings if the file is invalid now.
  void readServiceSetting() {
    try {
      const std::string Service = Setting->Read();
      spdlog::info("event=settings-reloaded service={}", Service);
      Caller.handleSetting(Service, std::chrono::system_clock::now());
      useCallerService("settings");
    } catch (const Common::Error &Failure) {
      spdlog::error("event=settings-reload-failed reason=\"{}\"",
                    Failure.what());
    }
  }

  void useCallerService(const char *Source) {
    if constexpr (CallerNamingCodec<Codec>) {
      if (HttpCodec.service() == Caller.current())
        return;
      spdlog::info("event=caller-service now={} before={} by={}",
                   Caller.current(), HttpCodec.service(), Source);
      HttpCodec.useService(Caller.current());
    }
  }

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }
  static std::int64_t microsSince(Common::SteadyTime Start) {
    return std::chrono::duration_cast<Common::Micros>(now() - Start).count();
  }

  void handleRequest(Http::ExchangeId Id, Http::Request Request) {
    lookAtSettings();
    Routing::CallStart Start = HttpCodec.toCallStart(
        static_cast<Routing::CallId>(Id), std::move(Request),
        Settings.Name + "-" + std::to_string(Id));
    OpenCalls.emplace(
        Start.Call,
        OpenCall{Start.CorrelationId, Start.Caller, now(), {}, {}, {}});
    if (Draining) {
      Routing::CallReply Refused;
      Refused.Result = Common::ResultCode::Draining;
      answer(Start.Call, std::move(Refused));
      return;
    }
    if (!admitTenant(Start))
      return;
    if (const auto Limit = claimedCallLimit(Set.get(), Start))
      claim(std::move(Start), now() + *Limit);
    else
      act(Calls.startCall(std::move(Start), now()));
    armTimer();
  }

  // Finds out which tenant sent the call, and refuses the call if its key is
  // unknown or the quota is used up. Nothing after this sees the key.
  bool admitTenant(Routing::CallStart &Start) {
    const std::optional<std::string> Key =
        std::exchange(Start.TenantKey, std::nullopt);
    if (!Set || Set->tenants().empty())
      return true;
    const Config::Route *Route =
        Set->findRoute(Start.Host, Start.Method, Start.Path);
    // The dispatcher refuses a call without a set or a route.
    if (!Route)
      return true;
    const Tenants::Admission Decision = Gate.admit(*Set, *Route, Key, now());
    OpenCall &Opened = OpenCalls.at(Start.Call);
    if (Decision.Sender) {
      Start.Tenant = Decision.Sender->Name;
      Start.Priority = Decision.Sender->Priority;
      Opened.Tenant = Start.Tenant;
    }
    if (Decision.Result == Common::ResultCode::Ok) {
      reportSurge();
      return true;
    }
    Routing::AnswerCaller Refusal;
    Refusal.Call = Start.Call;
    Refusal.Kind = Route->Kind;
    Refusal.ConfigVersion = Calls.version();
    Refusal.Reply.Result = Decision.Result;
    Refusal.RetryAfter = Decision.RetryAfter;
    perform(Refusal);
    reportSurge();
    return false;
  }

  void reportDemand() {
    Clock.after(Tenants::ReportInterval, [this] { reportDemand(); });
    if (auto Report = Gate.quotas().takeReport(now()))
      Targets.ToQuota.post(DemandCounted{std::move(*Report)});
  }

  // Load pattern: a tenant suddenly sends many times its usual through all
  // nodes. The other nodes must learn of it sooner than at the next report.
  void reportSurge() {
    if (!Gate.quotas().isSurging(now()))
      return;
    if (auto Report = Gate.quotas().takeReport(now()))
      Targets.ToQuota.post(DemandCounted{std::move(*Report)});
  }

  // Claims the key of a call whose kind is not idempotent. The call is
  // dispatched when the claim is granted.
  void claim(Routing::CallStart Start, Common::SteadyTime Deadline) {
    const Routing::CallId Call = Start.Call;
    const Config::Route *Route =
        Set->findRoute(Start.Host, Start.Method, Start.Path);
    OpenCall &Opened = OpenCalls.at(Call);
    Opened.Service = Route->Service;
    Opened.Kind = Route->Kind;
    Once::ParsedKey Parsed =
        keyOf(Start, Settings.ClaimWindow, std::chrono::system_clock::now());
    Routing::CallReply Refused;
    Refused.Result = Parsed.Code;
    if (Parsed.Code == Common::ResultCode::Ok) {
      const auto Posted = Targets.ToClaims.post(ClaimCall{
          Call, std::move(Parsed.Key), fingerprintOf(Start), Deadline});
      if (Posted == Kernel::PostResult::Accepted) {
        Pending.hold(Call, std::move(Start), Deadline);
        // Answers the caller even when no decision on the claim arrives.
        Clock.after(Deadline + ClaimSlack - now(), [this, Call] {
          ClaimDecided TimedOut{Call, Common::ResultCode::OutcomeUnknown, {}};
          onMessage(TimedOut);
        });
        return;
      }
      Refused.Result = Common::ResultCode::ClaimUnavailable;
    }
    answer(Call, std::move(Refused));
  }

  void act(Routing::DispatchActions Actions) {
    for (Routing::DispatchAction &Entry : Actions)
      std::visit([this](auto &Action) { this->perform(Action); }, Entry);
  }

  void endClaim(Routing::CallId Call, Common::ResultCode Code) {
    Routing::CallReply Reply;
    Reply.Result = Code;
    Targets.ToClaims.post(ClaimedCallEnded{Call, std::move(Reply)});
  }

  void perform(const Routing::SendAttempt &Action) {
    if (Action.AttemptNumber > 1)
      spdlog::info("event=additional-attempt id={} number={} server={} node={}",
                   Action.Request.CorrelationId, Action.AttemptNumber,
                   Action.Request.Server, Action.Node);
    const auto Posted = Targets.ToPeers.post(
        SendRequest{Action.Node, Action.Request, Action.DataCentre,
                    Action.ConnectLimit, Action.MayBeRepeated});
    if (Posted == Kernel::PostResult::Accepted)
      return;
    Routing::CallReply Refused;
    Refused.Attempt = Action.Request.Attempt;
    // The request never left this node, so it did not run.
    Refused.Result = Common::ResultCode::QueueFull;
    act(Calls.handleReply(Refused, now()));
  }
  void perform(const Routing::CancelAttempt &Action) {
    Targets.ToPeers.post(SendCancel{Action.Node, Action.Attempt});
  }
  // Hands the content of the answer over, which may be large.
  void perform(Routing::AnswerCaller &Action) {
    if (ClaimedCalls.erase(Action.Call) > 0)
      Targets.ToClaims.post(ClaimedCallEnded{Action.Call, Action.Reply});
    const OpenCall Call = std::move(OpenCalls.extract(Action.Call).mapped());
    // A call that did not run uses up none of its tenant's quota.
    if (Common::isNotRun(Action.Reply.Result) &&
        Action.Reply.Result != Common::ResultCode::TenantQuotaSpent)
      Gate.quotas().refund(Call.Tenant);
    logCall(Action, Call);
    recordSample(Action, Call);
    const auto Exchange = static_cast<Http::ExchangeId>(Action.Call);
    Listener->respond(
        Exchange, HttpCodec.toResponse(std::move(Action), Call.CorrelationId));
    finishDrainIfIdle();
  }

  static void logCall(const Routing::AnswerCaller &Answer,
                      const OpenCall &Call) {
    spdlog::info(
        "event=call id={} exchange={} caller={} tenant={} version={} "
        "service={} kind={} "
        "server={} "
        "data-centre={} "
        "attempts={} result={} {} status={} took-us={} queue-us={} "
        "slot-us={} busy={}/{} waiting={} limit-us={} low-quantile-us={} "
        "unrouted={} expected-cost-us={} backlog-us={} slowness={}%",
        Call.CorrelationId, Answer.Call, Call.Caller, Call.Tenant,
        Answer.ConfigVersion, Answer.Service, Answer.Kind, Answer.Reply.Server,
        Answer.DataCentre, Answer.Attempts,
        Common::resultCodeNumber(Answer.Reply.Result),
        Common::resultCodeName(Answer.Reply.Result), Answer.Reply.HttpStatus,
        microsSince(Call.Arrived), Answer.Reply.QueueTime.count(),
        Answer.Reply.ServiceTime.count(), Answer.Reply.Load.BusySlots,
        Answer.Reply.Load.Slots, Answer.Reply.Load.Queued,
        Answer.Timeout.count(),
        Answer.LowQuantileLatency.value_or(Common::Micros(0)).count(),
        Answer.UnroutedPath, Answer.ExpectedCost.count(),
        Answer.Reply.Load.Backlog.count(), Answer.Reply.Load.SlownessPercent);
  }

  // Answers a call that never reached the dispatcher.
  void answer(Routing::CallId Call, Routing::CallReply Reply) {
    Routing::AnswerCaller Answer;
    Answer.Call = Call;
    Answer.Reply = std::move(Reply);
    perform(Answer);
  }

  void recordSample(const Routing::AnswerCaller &Answer, const OpenCall &Call) {
    Report::CallSample Sample;
    Sample.Service = Answer.Service.empty() ? Call.Service : Answer.Service;
    Sample.Kind = Answer.Kind.empty() ? Call.Kind : Answer.Kind;
    Sample.Result = Answer.Reply.Result;
    Sample.HttpStatus = Answer.Reply.HttpStatus;
    Sample.DataCentre = Answer.DataCentre;
    Sample.Server = Answer.Reply.Server;
    Sample.Latency =
        std::chrono::duration_cast<Common::Micros>(now() - Call.Arrived);
    Sample.Attempts = Answer.Attempts;
    Samples.push_back(std::move(Sample));
    if (Samples.size() >= MaxBufferedSamples)
      sendSamples();
    else if (Samples.size() == 1)
      Clock.after(SampleInterval, [this] { sendSamples(); });
  }

  // Samples that find the mailbox of the metrics service full are dropped:
  // metrics must not delay calls.
  void sendSamples() {
    if (Samples.empty())
      return;
    Targets.ToMetrics.post(CallsEnded{std::move(Samples)});
    Samples.clear();
  }

  void armTimer() {
    const auto Next = Calls.nextDue();
    if (!Next || (Timer && ArmedFor <= *Next))
      return;
    if (Timer)
      Clock.cancel(*Timer);
    ArmedFor = *Next;
    Timer = Clock.after(*Next - now(), [this] {
      Timer.reset();
      act(Calls.runDue(now()));
      armTimer();
    });
  }

  void finishDrainIfIdle() {
    if (!OnDrained || !Draining || Calls.openCalls() > 0 || Pending.size() > 0)
      return;
    Listener->finish(std::exchange(OnDrained, nullptr));
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  NodeSettings Settings;
  Sinks Targets;
  Codec HttpCodec;
  Routing::Dispatcher<Policy, Budgets> Calls;
  Tenants::TenantGate Gate;
  std::optional<ServiceSetting> Setting;
  CallerService Caller;
  Common::SteadyTime NextSettingsLook;
  Config::ObjectSetPtr Set;
  Once::PendingCalls<Routing::CallStart> Pending;
  // Calls that run under a granted claim.
  std::unordered_set<Routing::CallId> ClaimedCalls;
  std::unique_ptr<Http::EdgeServer> Listener;
  std::unordered_map<Routing::CallId, OpenCall> OpenCalls;
  std::vector<Report::CallSample> Samples;
  std::optional<Kernel::TimerId> Timer;
  Common::SteadyTime ArmedFor;
  bool Draining = false;
  std::function<void()> OnDrained;
};

} // namespace Node
