#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include <spdlog/spdlog.h>

#include "Http/EdgeServer.h"
#include "Kernel/Host.h"
#include "Node/CallResponse.h"
#include "Node/ClaimedCall.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Once/PendingCalls.h"
#include "Routing/Dispatcher.h"

namespace Node {

// Takes callers' requests and drives them through the near-side decisions.
template <Routing::ChoicePolicy Policy, Kernel::MessageSink<PeersMessage> Peers,
          Kernel::MessageSink<MembersMessage> Members,
          Kernel::MessageSink<ClaimsMessage> Claims,
          Kernel::MessageSink<MetricsMessage> Metrics,
          Kernel::MessageSink<AdminMessage> Admin,
          CallCodec Codec = OwnCallCodec,
          Routing::RetryBudgets Budgets = Routing::KindBudgets>
class FrontService {
public:
  using Message = FrontMessage;

  struct Sinks {
    Peers ToPeers;
    Members ToMembers;
    Claims ToClaims;
    Metrics ToMetrics;
    Admin ToAdmin;
  };

  FrontService(Kernel::Context Around, const NodeSettings &Settings,
               Policy Choice, Sinks Targets, Codec Translation = Codec(),
               Budgets Extra = Budgets())
      : Home(Around.Home), Settings(Settings), Targets(std::move(Targets)),
        Translation(std::move(Translation)),
        Calls(Settings.DataCentre, std::move(Choice), Settings.OpenCallLimit,
              std::move(Extra)) {}

  void start() {
    Http::EdgeLimits Limits;
    Limits.BodyBytes = Settings.BodyLimit;
    Listener =
        Http::EdgeServerBuilder(Home)
            .address(Settings.CallAddress)
            .port(Settings.CallPort)
            .limits(Limits)
            .onRequest([this](Http::ExchangeId Id, Http::Request Asked) {
              takeRequest(Id, std::move(Asked));
            })
            .onCallerGone([this](Http::ExchangeId Id) {
              act(Calls.callerGone(static_cast<Routing::CallId>(Id), now()));
            })
            .build();
    spdlog::info("event=callers-served address={}:{}", Settings.Address,
                 Listener->port());
  }

  void handle(Message Content) {
    std::visit([this](auto &Part) { this->take(Part); }, Content);
    armTimer();
  }

  // Each caller gets its answer before the node goes. Callers that have not
  // heard that it goes are served on for a while.
  void drain(std::function<void()> Done) {
    Listener->retireConnections();
    OnDrained = std::move(Done);
    if (Settings.ServeOnLimit.count() == 0)
      endService();
    else
      Clock.after(Settings.ServeOnLimit, [this] { endService(); });
  }

  void stop() { Listener.reset(); }

private:
  struct OpenCall {
    std::string CorrelationId;
    std::string Caller;
    Common::SteadyTime Arrived;
    // Known from the start for claimed calls alone.
    std::string Service;
    std::string Kind;
  };

  static constexpr std::size_t MaxSamplesHeld = 256;
  static constexpr Common::Millis SampleInterval{250};
  // The claims answer by the deadline; this is how long they may be late.
  static constexpr Common::Millis ClaimSlack{100};

  void take(ConfigAccepted &Part) {
    if (Part.Newest.SetVersion <= Calls.version())
      return;
    Set = Part.Newest.Set;
    Calls.useSet(Part.Newest.SetVersion, Part.Newest.Set);
    if (const auto &Limits = Set->callerLimits())
      Listener->useLimits({Limits->HeaderBytes, Limits->BodyBytes,
                           Limits->HeaderTimeout, Limits->IdleTimeout});
    Targets.ToAdmin.post(VersionInForce{Part.Newest.SetVersion});
    Targets.ToMembers.post(VersionInForce{Part.Newest.SetVersion});
  }
  void take(const CallerNamed &Part) {
    if constexpr (requires { Translation.useService(Part.Service); })
      Translation.useService(Part.Service);
  }
  void take(const LoadHeard &Part) {
    Calls.loadHeard(Part.Server, Part.Load, now());
  }
  void take(ServersChanged &Part) {
    Calls.useServers(Part.Servers, now());
    if constexpr (requires { Calls.budgets().useNodes(Part.Nodes); })
      Calls.budgets().useNodes(Part.Nodes);
  }
  void take(ReplyArrived &Part) { act(Calls.reply(Part.Reply, now())); }
  void take(NodeLost &Part) { act(Calls.connectionLost(Part.Address, now())); }

  void take(ClaimDecided &Part) {
    const bool IsWon = Part.Code == Common::ResultCode::Ok && !Part.Recorded;
    auto Released = Pending.release(Part.Call, IsWon, now());
    if (!Released) {
      // Its answer is out, so it must not run any more.
      if (IsWon)
        endClaim(Part.Call, Common::ResultCode::ClaimUnavailable);
      return;
    }
    if (IsWon)
      Claimed.insert(Part.Call);
    if (Released->MayRun) {
      Released->Held.Limit = std::chrono::duration_cast<Common::Micros>(
          Released->Deadline - now());
      act(Calls.begin(std::move(Released->Held), now()));
      return;
    }
    Routing::CallReply Answer = Part.Recorded.value_or(Routing::CallReply());
    if (!Part.Recorded)
      Answer.Result = IsWon ? Common::ResultCode::ClaimUnavailable : Part.Code;
    answer(Part.Call, std::move(Answer));
  }

  void endService() {
    Draining = true;
    Listener->stopListening();
    finishDrain();
  }

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void takeRequest(Http::ExchangeId Id, Http::Request Asked) {
    Routing::CallStart Start = Translation.toCallStart(
        static_cast<Routing::CallId>(Id), std::move(Asked),
        Settings.Name + "-" + std::to_string(Id));
    OpenCalls.emplace(
        Start.Call, OpenCall{Start.CorrelationId, Start.Caller, now(), {}, {}});
    if (Draining) {
      Routing::CallReply Refused;
      Refused.Result = Common::ResultCode::Draining;
      answer(Start.Call, std::move(Refused));
      return;
    }
    if (const auto Limit = limitOfClaimed(Set.get(), Start))
      claim(std::move(Start), now() + *Limit);
    else
      act(Calls.begin(std::move(Start), now()));
    armTimer();
  }

  // A call of a non-idempotent kind begins when its key is claimed.
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
        // Answers even when the claims do not.
        Clock.after(Deadline + ClaimSlack - now(), [this, Call] {
          ClaimDecided Silent{Call, Common::ResultCode::OutcomeUnknown, {}};
          take(Silent);
        });
        return;
      }
      Refused.Result = Common::ResultCode::ClaimUnavailable;
    }
    answer(Call, std::move(Refused));
  }

  void act(const Routing::DispatchActions &Actions) {
    for (const Routing::DispatchAction &Each : Actions)
      std::visit([this](const auto &Part) { this->perform(Part); }, Each);
  }

  void endClaim(Routing::CallId Call, Common::ResultCode Code) {
    Routing::CallReply Reply;
    Reply.Result = Code;
    Targets.ToClaims.post(ClaimedCallEnded{Call, std::move(Reply)});
  }

  void perform(const Routing::SendAttempt &Part) {
    if (Part.Number > 1)
      spdlog::info("event=attempt-again id={} number={} server={} node={}",
                   Part.Request.CorrelationId, Part.Number, Part.Request.Server,
                   Part.Node);
    const auto Posted =
        Targets.ToPeers.post(SendRequest{Part.Node, Part.Request});
    if (Posted == Kernel::PostResult::Accepted)
      return;
    Routing::CallReply Refused;
    Refused.Attempt = Part.Request.Attempt;
    // It never left this node, so it did not run.
    Refused.Result = Common::ResultCode::QueueFull;
    act(Calls.reply(Refused, now()));
  }
  void perform(const Routing::CancelAttempt &Part) {
    Targets.ToPeers.post(SendCancel{Part.Node, Part.Attempt});
  }
  void perform(const Routing::AnswerCaller &Part) {
    if (Claimed.erase(Part.Call) > 0)
      Targets.ToClaims.post(ClaimedCallEnded{Part.Call, Part.Reply});
    const OpenCall Ended = std::move(OpenCalls.extract(Part.Call).mapped());
    logEnd(Part, Ended);
    Listener->answer(static_cast<Http::ExchangeId>(Part.Call),
                     Translation.toResponse(Part, Ended.CorrelationId));
    sample(Part, Ended);
    finishDrain();
  }

  static void logEnd(const Routing::AnswerCaller &Part, const OpenCall &Ended) {
    spdlog::info(
        "event=call id={} caller={} version={} service={} kind={} server={} "
        "data-centre={} "
        "attempts={} result={} {} status={} took-us={} queue-us={} "
        "slot-us={} busy={}/{} waiting={} limit-us={} least-usual-us={} "
        "unrouted={}",
        Ended.CorrelationId, Ended.Caller, Part.Number, Part.Service, Part.Kind,
        Part.Reply.Server, Part.DataCentre, Part.Attempts,
        Common::resultCodeNumber(Part.Reply.Result),
        Common::resultCodeName(Part.Reply.Result), Part.Reply.HttpStatus,
        std::chrono::duration_cast<Common::Micros>(now() - Ended.Arrived)
            .count(),
        Part.Reply.QueueTime.count(), Part.Reply.ServiceTime.count(),
        Part.Reply.Load.BusySlots, Part.Reply.Load.Slots,
        Part.Reply.Load.Queued, Part.Limit.count(),
        Part.LeastUsual.value_or(Common::Micros(0)).count(), Part.Unrouted);
  }

  // Ends a call that never reached the Dispatcher.
  void answer(Routing::CallId Call, Routing::CallReply Reply) {
    Routing::AnswerCaller Answer;
    Answer.Call = Call;
    Answer.Reply = std::move(Reply);
    perform(Answer);
  }

  void sample(const Routing::AnswerCaller &Part, const OpenCall &Ended) {
    Report::CallSample Taken;
    Taken.Service = Part.Service.empty() ? Ended.Service : Part.Service;
    Taken.Kind = Part.Kind.empty() ? Ended.Kind : Part.Kind;
    Taken.Result = Part.Reply.Result;
    Taken.HttpStatus = Part.Reply.HttpStatus;
    Taken.DataCentre = Part.DataCentre;
    Taken.Server = Part.Reply.Server;
    Taken.Latency =
        std::chrono::duration_cast<Common::Micros>(now() - Ended.Arrived);
    Taken.Attempts = Part.Attempts;
    Samples.push_back(std::move(Taken));
    if (Samples.size() >= MaxSamplesHeld)
      sendSamples();
    else if (Samples.size() == 1)
      Clock.after(SampleInterval, [this] { sendSamples(); });
  }

  // Figures are no reason to hold up a call: what finds no room is dropped.
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

  void finishDrain() {
    if (!OnDrained || !Draining || Calls.openCalls() > 0 || Pending.size() > 0)
      return;
    // The answers still have to leave through the sockets.
    Clock.after(Common::Millis(200), std::exchange(OnDrained, nullptr));
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  Sinks Targets;
  Codec Translation;
  Routing::Dispatcher<Policy, Budgets> Calls;
  Config::ObjectSetPtr Set;
  Once::PendingCalls<Routing::CallStart> Pending;
  // Calls that run under a claim.
  std::unordered_set<Routing::CallId> Claimed;
  std::unique_ptr<Http::EdgeServer> Listener;
  std::unordered_map<Routing::CallId, OpenCall> OpenCalls;
  std::vector<Report::CallSample> Samples;
  std::optional<Kernel::TimerId> Timer;
  Common::SteadyTime ArmedFor;
  bool Draining = false;
  std::function<void()> OnDrained;
};

} // namespace Node
