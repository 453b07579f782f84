#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include <spdlog/spdlog.h>

#include "Http/Server.h"
#include "Kernel/Host.h"
#include "Node/CallResponse.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Routing/Dispatcher.h"

namespace Node {

// Takes callers' requests and drives them through the near-side decisions.
template <Routing::ChoicePolicy Policy, Kernel::MessageSink<PeersMessage> Peers,
          Kernel::MessageSink<MembersMessage> Members,
          Kernel::MessageSink<AdminMessage> Admin>
class FrontService {
public:
  using Message = FrontMessage;

  struct Sinks {
    Peers ToPeers;
    Members ToMembers;
    Admin ToAdmin;
  };

  FrontService(Kernel::Context Around, const NodeSettings &Settings,
               Policy Choice, Sinks Targets)
      : Home(Around.Home), Settings(Settings), Targets(std::move(Targets)),
        Calls(Settings.DataCentre, std::move(Choice), Settings.OpenCallLimit) {}

  void start() {
    Listener = Http::ServerBuilder(Home)
                   .address(Settings.Address)
                   .port(Settings.CallPort)
                   .bodyLimit(Settings.BodyLimit)
                   .onRequest([this](Http::ExchangeId Id, Http::Request Asked) {
                     takeRequest(Id, std::move(Asked));
                   })
                   .build();
    spdlog::info("callers are served on {}:{}", Settings.Address,
                 Listener->port());
  }

  void handle(Message Content) {
    std::visit([this](auto &Part) { this->take(Part); }, Content);
    armTimer();
  }

  // Each caller gets its answer before the node goes.
  void drain(std::function<void()> Done) {
    Draining = true;
    Listener->stopListening();
    OnDrained = std::move(Done);
    finishDrain();
  }

  void stop() { Listener.reset(); }

private:
  void take(ConfigAccepted &Part) {
    if (Part.Newest.Number <= Calls.version())
      return;
    Calls.useSet(Part.Newest.Number, Part.Newest.Set);
    Targets.ToAdmin.post(VersionInForce{Part.Newest.Number});
    Targets.ToMembers.post(VersionInForce{Part.Newest.Number});
  }
  void take(ServersChanged &Part) { Calls.useServers(Part.Servers, now()); }
  void take(ReplyArrived &Part) { act(Calls.reply(Part.Reply, now())); }
  void take(NodeLost &Part) { act(Calls.connectionLost(Part.Address, now())); }

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void takeRequest(Http::ExchangeId Id, Http::Request Asked) {
    Routing::CallStart Start =
        toCallStart(static_cast<Routing::CallId>(Id), std::move(Asked),
                    Settings.Name + "-" + std::to_string(Id));
    Correlations.emplace(Start.Call, Start.CorrelationId);
    if (Draining) {
      Routing::CallReply Refused;
      Refused.Result = Common::ResultCode::Draining;
      act({Routing::AnswerCaller{Start.Call, Refused, 0}});
      return;
    }
    act(Calls.begin(std::move(Start), now()));
    armTimer();
  }

  void act(const Routing::DispatchActions &Actions) {
    for (const Routing::DispatchAction &Each : Actions)
      std::visit([this](const auto &Part) { this->perform(Part); }, Each);
  }

  void perform(const Routing::SendAttempt &Part) {
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
    const auto Correlation = Correlations.extract(Part.Call);
    if (Part.Reply.Result != Common::ResultCode::Ok)
      spdlog::info("call {}: {} {}", Correlation.mapped(),
                   Common::resultCodeNumber(Part.Reply.Result),
                   Common::resultCodeName(Part.Reply.Result));
    Listener->answer(
        static_cast<Http::ExchangeId>(Part.Call),
        toResponse(Part.Reply, Part.Attempts, Correlation.mapped()));
    finishDrain();
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
    if (!OnDrained || Calls.openCalls() > 0)
      return;
    // The answers still have to leave through the sockets.
    Clock.after(Common::Millis(200), std::exchange(OnDrained, nullptr));
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  Sinks Targets;
  Routing::Dispatcher<Policy> Calls;
  std::unique_ptr<Http::Server> Listener;
  std::unordered_map<Routing::CallId, std::string> Correlations;
  std::optional<Kernel::TimerId> Timer;
  Common::SteadyTime ArmedFor;
  bool Draining = false;
  std::function<void()> OnDrained;
};

} // namespace Node
