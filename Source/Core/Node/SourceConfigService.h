#pragma once

#include <map>
#include <memory>
#include <string>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Common/Hash.h"
#include "Config/ConfigFollower.h"
#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/Compression.h"
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
    From->onProgress([this] { Decisions.handleReadProgress(now()); });
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
    Result.Node = Settings.Name;
    Result.DataCentre = Settings.DataCentre;
    Result.SourceWait = Settings.LogWait;
    return Result;
  }

  void tick() {
    Clock.after(TickInterval, [this] { tick(); });
    act(Decisions.tick(now()));
    std::erase_if(Held.Waiting, [this](const auto &Each) {
      if (now() < Each.second.Until)
        return false;
      answerNothingNewer(Each.first);
      return true;
    });
  }

  void act(const Config::FollowActions &Actions) {
    for (const Config::FollowAction &Each : Actions)
      std::visit([this](const auto &Part) { this->perform(Part); }, Each);
    if (const std::string Reader = Decisions.polledReader();
        Reader != KnownReader) {
      spdlog::info("event=config-reader now={} before={} version={}",
                   Reader.empty() ? "none" : Reader,
                   KnownReader.empty() ? "none" : KnownReader,
                   Decisions.held());
      KnownReader = Reader;
    }
    if (Decisions.isReadFailing() != KnownCutOff) {
      KnownCutOff = Decisions.isReadFailing();
      spdlog::warn("dependency=config-source state={} version={} code={} "
                   "detail=\"{}\"",
                   KnownCutOff ? "lost" : "regained", Decisions.held(),
                   Common::resultCodeNumber(LastRead.Code), LastRead.Detail);
    }
    // They find the source themselves.
    if (!Held.Waiting.empty() && !Decisions.isConnectedToSource(now()) &&
        !Decisions.isTakingOver())
      for (const auto &[Origin, Each] : std::exchange(Held.Waiting, {}))
        answerNothingNewer(Origin);
  }

  void perform(const Config::ReadNewestSet &) {
    From->readNewest([this](Config::SourceAnswer Answer) { finish(Answer); });
  }
  void perform(const Config::ReadFrom &Part) {
    From->readOn(Part.From, Part.Wait,
                 [this](Config::SourceAnswer Answer) { finish(Answer); });
  }
  void perform(const Config::CancelRead &) {
    LastRead = {Common::ResultCode::LogUnavailable, "no answer in time"};
    From->cancel();
  }
  void perform(const Config::RequestFromPeer &Part) { ask(Part.Address, {}); }
  void perform(const Config::LongPollReader &Part) {
    ask(Part.Address, Part.Wait);
  }

  void ask(const Routing::NodeAddress &Address, Common::Micros Wait) {
    Config::SetRequest Request;
    Request.Node = Settings.Name;
    Request.Held = Decisions.held();
    Request.Wait = Wait;
    send(Address, Request);
  }

  void send(const Routing::NodeAddress &Address,
            const Config::ReplicationMessage &Content) {
    Targets.ToControl.post(
        SendEnvelope{Address, ConfigName, Wire::encodeSpread(Content)});
  }

  void finish(const Config::SourceAnswer &Answer) {
    LastRead = {Answer.Code, Answer.Detail};
    if (!Answer.Content.empty())
      install(Answer.Content, "source");
    act(Decisions.handleSourceAnswer(Answer, now()));
  }

  void install(std::string Content, const std::string &By) {
    try {
      const Config::DecodedSet Read = From->decode(Content);
      if (!Decisions.adoptVersion(Read.SetVersion))
        return;
      spdlog::info("event=set-in-force version={} by={} routes={}",
                   Read.SetVersion, By, Read.Set->routes().size());
      Held.keep(Read.SetVersion, std::move(Content));
      Config::AcceptedSet Newest;
      Newest.SetVersion = Read.SetVersion;
      Newest.Set = Read.Set;
      Targets.ToFront.post(ConfigAccepted{std::move(Newest)});
      if (Targets.OnFirstSet)
        std::exchange(Targets.OnFirstSet, nullptr)();
      for (const auto &[Origin, Each] : std::exchange(Held.Waiting, {}))
        answerSet(Origin, Each.Held);
    } catch (const Common::Error &Refused) {
      spdlog::error("event=set-refused by={} held={} reason=\"{}\"", By,
                    Decisions.held(), Refused.what());
    }
  }

  void take(const MembersChanged &Part) {
    std::vector<Config::FollowPeer> Peers;
    for (const Membership::Member &Each : *Part.Alive)
      if (Each.Node != Settings.Name)
        Peers.push_back({Each.Node, Each.DataCentre,
                         Each.Address + ":" + std::to_string(Each.ControlPort),
                         Each.ConfigVersion});
    Decisions.setPeers(std::move(Peers));
    // A node that starts has been waiting for somebody to ask.
    if (Decisions.held() == 0)
      act(Decisions.tick(now()));
  }

  void take(const EnvelopeArrived &Part) {
    const Config::ReplicationMessage Content = Wire::decodeSpread(Part.Content);
    if (const auto *Asked = std::get_if<Config::SetRequest>(&Content)) {
      answer(Part.Origin, *Asked);
    } else if (const auto *Sent = std::get_if<Config::SetSnapshot>(&Content)) {
      takeSnapshot(*Sent);
      act(Decisions.handlePeerAnswer(Sent->Node, true, now()));
    } else if (const auto *Told = std::get_if<Config::HeldVersion>(&Content)) {
      act(Decisions.handlePeerAnswer(Told->Node, Told->ReadsLog, now()));
    }
  }
  void take(const EnvelopeLost &Part) {
    act(Decisions.handlePeerLost(Part.Address, now()));
  }

  void takeSnapshot(const Config::SetSnapshot &Sent) {
    if (Sent.SetVersion <= Decisions.held())
      return;
    const std::string By = "peer " + Sent.Node;
    if (Sent.Base == 0) {
      install(Sent.Content.Changed, By);
      return;
    }
    // Without the base the next question, which names what is held by then,
    // brings another answer.
    const std::string *Base = Held.find(Sent.Base);
    if (!Base)
      return;
    std::string Whole =
        Wire::applyPatch(*Base, Sent.Content.Changed, MaxSetBytes);
    if (Common::hashOf(Whole) == Sent.Hash)
      install(std::move(Whole), By);
    else
      spdlog::error("event=set-refused by={} held={} reason=\"the patch does "
                    "not give the set that it was made for\"",
                    By, Decisions.held());
  }

  void answer(OriginId Origin, const Config::SetRequest &Asked) {
    if (Asked.Wait.count() > 0)
      act(Decisions.handleLongPoll(now()));
    if (Asked.Held < Decisions.held())
      answerSet(Origin, Asked.Held);
    else if (Asked.Wait.count() > 0 && Decisions.isConnectedToSource(now()))
      Held.Waiting[Origin] = {Asked.Held, now() + Asked.Wait};
    else if (Asked.Wait.count() > 0 && Decisions.isTakingOver())
      Held.Waiting[Origin] = {Asked.Held,
                              now() + std::min(Asked.Wait, TakeOverLimit)};
    else
      answerNothingNewer(Origin);
  }

  void answerNothingNewer(OriginId Origin) {
    reply(Origin, Wire::encodeSpread(Config::HeldVersion{
                      Settings.Name, Decisions.held(),
                      Decisions.isConnectedToSource(now())}));
  }

  // As a patch where the asker holds one of the last sets. The answers for one
  // base are alike and made once.
  void answerSet(OriginId Origin, Config::Version Base) {
    const std::string *Earlier = Held.find(Base);
    std::string &Encoded = Held.Answers[Earlier ? Base : 0];
    if (Encoded.empty()) {
      const std::string &Whole = *Held.find(Decisions.held());
      Config::SetSnapshot Sent;
      Sent.Node = Settings.Name;
      Sent.SetVersion = Decisions.held();
      Sent.Base = Earlier ? Base : 0;
      Sent.Content.Changed = Earlier ? Wire::makePatch(*Earlier, Whole) : Whole;
      Sent.Hash = Common::hashOf(Whole);
      Encoded = Wire::encodeSpread(Sent);
    }
    reply(Origin, Encoded);
  }

  void reply(OriginId Origin, const std::string &Encoded) {
    Targets.ToControl.post(ReplyEnvelope{Origin, ConfigName, Encoded});
  }

  // Sets as the source gave them, for peers.
  struct HeldSets {
    struct Waiter {
      Config::Version Held = 0;
      Common::SteadyTime Until;
    };

    void keep(Config::Version Number, std::string Content) {
      Answers.clear();
      Contents.emplace(Number, std::move(Content));
      if (Contents.size() > MaxContents)
        Contents.erase(Contents.begin());
    }
    const std::string *find(Config::Version Number) const {
      const auto Found = Contents.find(Number);
      return Found == Contents.end() ? nullptr : &Found->second;
    }

    std::map<Config::Version, std::string> Contents;
    // Encoded answers with the newest set, by the version of their base; 0 for
    // the whole set.
    std::map<Config::Version, std::string> Answers;
    // Those that wait here for a newer set.
    std::map<OriginId, Waiter> Waiting;
  };

  // How long those who wait here are kept while it is not known yet whether the
  // source answers this node. Leaves them time for a read of their own.
  static constexpr Common::Micros TakeOverLimit{400'000};
  // The newest set, and bases for those that missed one or two.
  static constexpr std::size_t MaxContents = 3;
  // Far more than any set; bounds what a damaged patch can ask for.
  static constexpr std::size_t MaxSetBytes = 64 << 20;

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  Sinks Targets;
  std::unique_ptr<Source> From;
  Config::ConfigFollower Decisions;
  HeldSets Held;
  // How the last read of the source ended.
  struct ReadEnd {
    Common::ResultCode Code = Common::ResultCode::Ok;
    std::string Detail;
  };
  ReadEnd LastRead;
  // As last told in the log.
  std::string KnownReader;
  bool KnownCutOff = false;
};

} // namespace Node
