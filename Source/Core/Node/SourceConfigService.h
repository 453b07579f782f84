#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Config/NewestFollower.h"
#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/ConfigCodec.h"

namespace Node {

// Keeps the node on the newest set of a source, and helps peers that the
// source does not answer.
template <Config::ConfigSource Source,
          Kernel::MessageSink<ConfigAccepted> Front,
          Kernel::MessageSink<ControlMessage> Control>
class SourceConfigService {
public:
  using Message = ConfigMessage;

  struct Sinks {
    Front ToFront;
    Control ToControl;
    // Told once, when a first set is in force.
    std::function<void()> OnFirstSet;
  };

  SourceConfigService(Kernel::Context Around, const NodeSettings &Settings,
                      Sinks Targets, std::unique_ptr<Source> From,
                      std::uint64_t Seed)
      : Home(Around.Home), Settings(Settings), Targets(std::move(Targets)),
        From(std::move(From)), Decisions(optionsOf(Settings), Seed) {}

  void start() {
    act(Decisions.start(now()));
    tick();
  }

  void handle(Message Content) {
    std::visit([this](auto &Part) { this->take(Part); }, Content);
  }

  void stop() { From.reset(); }

private:
  static constexpr Common::Millis TickInterval{100};

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  static Config::FollowOptions optionsOf(const NodeSettings &Settings) {
    Config::FollowOptions Result;
    Result.Wait = Settings.LogWait;
    return Result;
  }

  void tick() {
    Clock.after(TickInterval, [this] { tick(); });
    act(Decisions.tick(Peers, now()));
  }

  void act(const Config::FollowActions &Actions) {
    for (const Config::FollowAction &Each : Actions)
      std::visit([this](const auto &Part) { this->perform(Part); }, Each);
  }

  void perform(const Config::ReadNewestSet &) {
    From->readNewest([this](Config::SourceAnswer Answer) { finish(Answer); });
  }
  void perform(const Config::ReadOnFrom &Part) {
    From->readOn(Part.From, Settings.LogWait,
                 [this](Config::SourceAnswer Answer) { finish(Answer); });
  }
  void perform(const Config::CancelRead &) { From->cancel(); }
  void perform(const Config::AskPeer &Part) {
    send(Part.Address, Config::SetRequest{Settings.Name, Decisions.held(),
                                          /*WholeOnly=*/true});
  }

  void send(const Routing::NodeAddress &Address,
            const Config::SpreadMessage &Content) {
    Targets.ToControl.post(
        SendEnvelope{Address, ConfigName, Wire::encodeSpread(Content)});
  }

  void finish(const Config::SourceAnswer &Answer) {
    const bool WasCutOff = Decisions.isCutOff();
    if (!Answer.Content.empty())
      install(Answer.Content, "source");
    act(Decisions.answered(Answer, now()));
    if (Decisions.isCutOff() != WasCutOff)
      spdlog::warn("dependency=config-source state={} version={} code={} "
                   "detail=\"{}\"",
                   WasCutOff ? "regained" : "lost", Decisions.held(),
                   Common::resultCodeNumber(Answer.Code), Answer.Detail);
  }

  void install(const std::string &Content, const std::string &By) {
    try {
      const Config::DecodedSet Read = From->decode(Content);
      if (!Decisions.offer(Read.Number))
        return;
      Held = Content;
      spdlog::info("event=set-in-force version={} by={} routes={}", Read.Number,
                   By, Read.Set->routes().size());
      Config::Accepted Newest;
      Newest.Number = Read.Number;
      Newest.Set = Read.Set;
      Targets.ToFront.post(ConfigAccepted{std::move(Newest)});
      if (Targets.OnFirstSet)
        std::exchange(Targets.OnFirstSet, nullptr)();
    } catch (const Common::Error &Refused) {
      spdlog::error("event=set-refused by={} held={} reason=\"{}\"", By,
                    Decisions.held(), Refused.what());
    }
  }

  void take(const MembersChanged &Part) {
    Peers.clear();
    for (const Membership::Member &Each : *Part.Alive)
      if (Each.Node != Settings.Name)
        Peers.push_back({Each.Node,
                         Each.Address + ":" + std::to_string(Each.ControlPort),
                         Each.ConfigVersion});
  }

  void take(const EnvelopeArrived &Part) {
    Config::SpreadMessage Content = Wire::decodeSpread(Part.Content);
    if (const auto *Asked = std::get_if<Config::SetRequest>(&Content)) {
      answer(Part.Origin, *Asked);
    } else if (auto *Sent = std::get_if<Config::SetSnapshot>(&Content)) {
      Decisions.peerAnswered();
      if (Sent->Number > Decisions.held())
        install(Sent->Content.Changed, "peer " + Sent->Node);
    } else {
      Decisions.peerAnswered();
    }
  }
  void take(const EnvelopeLost &) { Decisions.peerAnswered(); }

  void answer(OriginId Origin, const Config::SetRequest &Asked) {
    Config::SpreadMessage Content =
        Config::HeldVersion{Settings.Name, Decisions.held(), true};
    if (Asked.Held < Decisions.held()) {
      Config::SetSnapshot Sent;
      Sent.Node = Settings.Name;
      Sent.Number = Decisions.held();
      Sent.Content.Changed = Held;
      Content = std::move(Sent);
    }
    Targets.ToControl.post(
        ReplyEnvelope{Origin, ConfigName, Wire::encodeSpread(Content)});
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  Sinks Targets;
  std::unique_ptr<Source> From;
  Config::NewestFollower Decisions;
  std::vector<Config::FollowPeer> Peers;
  // The set in force as the source gave it, for peers.
  std::string Held;
};

} // namespace Node
