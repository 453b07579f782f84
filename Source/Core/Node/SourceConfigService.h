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

// Keeps this node on the newest configuration set of a source, and serves that
// set to peers that long-poll here or that the source does not answer.
template <Config::ConfigSource Source,
          Kernel::MessageSink<ConfigAccepted> Ingress,
          Kernel::MessageSink<ControlMessage> Control>
class SourceConfigService {
public:
  using Message = ConfigMessage;

  struct Sinks {
    Ingress ToIngress;
    Control ToControl;
    // Called once, when the first set is in force.
    std::function<void()> OnFirstSet;
    Kernel::Address<AnnouncementMessage> ToAnnouncements = {};
    // Closed if the source is never replaced by an older copy.
    Kernel::Address<RecoveryMessage> ToRecovery = {};
  };

  SourceConfigService(Kernel::Context Context, const NodeSettings &Settings,
                      Sinks Targets, std::unique_ptr<Source> ConfigSource,
                      std::uint64_t Seed)
      : Task(Context.ServiceTask), Settings(Settings),
        Targets(std::move(Targets)), ConfigSource(std::move(ConfigSource)),
        Follower(optionsOf(Settings), Seed) {}

  void start() {
    ConfigSource->onProgress([this] { Follower.handleReadProgress(now()); });
    act(Follower.start(now()));
    tick();
  }

  void handle(Message Content) {
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
  }

  void stop() { ConfigSource.reset(); }

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
    act(Follower.tick(now()));
    std::erase_if(Cache.Waiters, [this](const auto &Entry) {
      if (now() < Entry.second.Deadline)
        return false;
      answerNothingNewer(Entry.first);
      return true;
    });
  }

  void act(const Config::FollowActions &Actions) {
    for (const Config::FollowAction &Entry : Actions)
      std::visit([this](const auto &Action) { this->perform(Action); }, Entry);
    if (const std::string Reader = Follower.polledReader();
        Reader != LoggedReader) {
      spdlog::info("event=config-reader now={} before={} version={} reason={}",
                   Reader.empty() ? "none" : Reader,
                   LoggedReader.empty() ? "none" : LoggedReader,
                   Follower.held(),
                   Config::readerEndName(Follower.lastReaderEnd()));
      LoggedReader = Reader;
    }
    if (Follower.isReadFailing() != LoggedCutOff) {
      LoggedCutOff = Follower.isReadFailing();
      spdlog::warn("dependency=config-source state={} version={} code={} "
                   "detail=\"{}\"",
                   LoggedCutOff ? "lost" : "regained", Follower.held(),
                   Common::resultCodeNumber(LastRead.Code), LastRead.Detail);
    }
    // When the source does not answer this node, peers that long-poll here are
    // answered at once, so that they read the source themselves.
    if (!Follower.isConnectedToSource(now()) && !Follower.isTakingOver())
      answerWaitersNothingNewer();
  }

  void perform(const Config::ReadNewestSet &) {
    ConfigSource->readNewest(
        [this](Config::SourceAnswer Answer) { onReadFinished(Answer); });
  }
  void perform(const Config::ReadFrom &Action) {
    ConfigSource->readOn(
        Action.From, Action.Wait,
        [this](Config::SourceAnswer Answer) { onReadFinished(Answer); });
  }
  void perform(const Config::CancelRead &) {
    LastRead = {Common::ResultCode::LogUnavailable, "timed out"};
    ConfigSource->cancel();
  }
  void perform(const Config::RequestFromPeer &Action) {
    requestSet(Action.Address, {});
  }
  void perform(const Config::LongPollReader &Action) {
    requestSet(Action.Address, Action.Wait);
  }

  void requestSet(const Routing::NodeAddress &Address, Common::Micros Wait) {
    Config::SetRequest Request;
    Request.Node = Settings.Name;
    Request.Held = Follower.held();
    Request.Wait = Wait;
    send(Address, Request);
  }

  void send(const Routing::NodeAddress &Address,
            const Config::ReplicationMessage &Content) {
    Targets.ToControl.post(
        SendEnvelope{Address, ConfigName, Wire::encodeReplication(Content)});
  }

  void onReadFinished(const Config::SourceAnswer &Answer) {
    LastRead = {Answer.Code, Answer.Detail};
    const bool IsUsable = Follower.isUsable(Answer);
    if (IsUsable && !Answer.Content.empty())
      install(Answer.Content, "source");
    act(Follower.handleSourceAnswer(Answer, now()));
    reportEra("source");
    // Shows the peers that this node is alive and the source answers it.
    if (IsUsable && Answer.Code == Common::ResultCode::Ok)
      answerWaitersNothingNewer();
  }

  void handleEra(std::optional<Recovery::StoreEra> Stated,
                 const std::string &Origin) {
    act(Follower.handleEra(Stated, now()));
    reportEra(Origin);
  }

  void reportEra(const std::string &Origin) {
    if (Follower.sourceEra() == ReportedEra)
      return;
    ReportedEra = Follower.sourceEra();
    Cache.EncodedAnswers.clear();
    Targets.ToRecovery.post(StoreEraSeen{*ReportedEra, Origin});
  }

  void install(std::string Content, const std::string &Provider) {
    try {
      const Config::DecodedSet Read = ConfigSource->decode(Content);
      if (!Follower.adoptVersion(Read.SetVersion))
        return;
      spdlog::info("event=set-in-force version={} by={} routes={}",
                   Read.SetVersion, Provider, Read.Set->routes().size());
      Cache.add(Read.SetVersion, std::move(Content));
      Config::AcceptedSet Newest;
      Newest.SetVersion = Read.SetVersion;
      Newest.Set = Read.Set;
      Targets.ToAnnouncements.post(ConfigAccepted{Newest});
      Targets.ToIngress.post(ConfigAccepted{std::move(Newest)});
      if (Targets.OnFirstSet)
        std::exchange(Targets.OnFirstSet, nullptr)();
      for (const auto &[Origin, Waiter] : std::exchange(Cache.Waiters, {}))
        answerWithSet(Origin, Waiter.HeldVersion);
    } catch (const Common::Error &Failure) {
      spdlog::error("event=set-refused by={} held={} reason=\"{}\"", Provider,
                    Follower.held(), Failure.what());
    }
  }

  void onMessage(const MembersChanged &Event) {
    std::vector<Config::FollowPeer> Peers;
    for (const Membership::Member &Peer : *Event.Alive)
      if (Peer.Node != Settings.Name)
        Peers.push_back({Peer.Node, Peer.DataCentre,
                         Peer.Address + ":" + std::to_string(Peer.ControlPort),
                         Peer.ConfigVersion});
    Follower.setPeers(std::move(Peers));
    // A node that has no set yet can now ask these peers.
    if (Follower.held() == 0)
      act(Follower.tick(now()));
  }

  void onMessage(const EnvelopeArrived &Event) {
    try {
      handlePeerMessage(Event.Origin, Wire::decodeReplication(Event.Content));
    } catch (const Common::Error &Failure) {
      spdlog::warn("event=config-message-refused bytes={} reason=\"{}\"",
                   Event.Content.size(), Failure.what());
    }
  }
  void handlePeerMessage(OriginId Origin,
                         const Config::ReplicationMessage &Content) {
    if (const auto *Request = std::get_if<Config::SetRequest>(&Content)) {
      answerRequest(Origin, *Request);
    } else if (const auto *Snapshot =
                   std::get_if<Config::SetSnapshot>(&Content)) {
      handleEra(Snapshot->SourceEra, "peer " + Snapshot->Node);
      handleSnapshot(*Snapshot);
      act(Follower.handlePeerAnswer(Snapshot->Node, true, now()));
    } else if (const auto *Reply = std::get_if<Config::HeldVersion>(&Content)) {
      handleEra(Reply->SourceEra, "peer " + Reply->Node);
      act(Follower.handlePeerAnswer(Reply->Node, Reply->ReadsLog, now()));
    }
  }
  void onMessage(const StoreEraChanged &Event) {
    handleEra(Event.Era, RecoveryName);
  }
  void onMessage(const EnvelopeConnectionLost &Event) {
    act(Follower.handlePeerLost(Event.Address, now()));
  }

  void handleSnapshot(const Config::SetSnapshot &Snapshot) {
    if (Snapshot.SetVersion <= Follower.held())
      return;
    const std::string Provider = "peer " + Snapshot.Node;
    if (Snapshot.Base == 0) {
      install(Snapshot.Content.Changed, Provider);
      return;
    }
    // Without the base the patch is of no use. The next request names the
    // version held by then and gets an answer for that version.
    const std::string *Base = Cache.find(Snapshot.Base);
    if (!Base)
      return;
    std::string WholeSet =
        Wire::applyPatch(*Base, Snapshot.Content.Changed, MaxSetBytes);
    if (Common::hashOf(WholeSet) == Snapshot.Hash)
      install(std::move(WholeSet), Provider);
    else
      spdlog::error("event=set-refused by={} held={} reason=\"the patched set "
                    "does not match the hash of the snapshot\"",
                    Provider, Follower.held());
  }

  void answerRequest(OriginId Origin, const Config::SetRequest &Request) {
    if (Request.Wait.count() > 0)
      act(Follower.handleLongPoll(now()));
    if (Request.Held < Follower.held())
      answerWithSet(Origin, Request.Held);
    else if (Request.Wait.count() > 0 && Follower.isConnectedToSource(now()))
      Cache.Waiters[Origin] = {Request.Held, now() + Request.Wait};
    else if (Request.Wait.count() > 0 && Follower.isTakingOver())
      Cache.Waiters[Origin] = {Request.Held,
                               now() + std::min(Request.Wait, TakeOverLimit)};
    else
      answerNothingNewer(Origin);
  }

  std::string encodeHeldVersion() const {
    return Wire::encodeReplication(Config::HeldVersion{
        Settings.Name, Follower.held(), Follower.isConnectedToSource(now()),
        Follower.sourceEra()});
  }
  void answerNothingNewer(OriginId Origin) {
    reply(Origin, encodeHeldVersion());
  }
  void answerWaitersNothingNewer() {
    if (Cache.Waiters.empty())
      return;
    const std::string Encoded = encodeHeldVersion();
    for (const auto &[Origin, Waiter] : std::exchange(Cache.Waiters, {}))
      reply(Origin, Encoded);
  }

  // Sends a patch when the requester holds one of the cached sets, else the
  // whole set. Answers to the same base are identical and encoded only once.
  void answerWithSet(OriginId Origin, Config::Version Base) {
    const std::string *BaseContent = Cache.find(Base);
    std::string &Encoded = Cache.EncodedAnswers[BaseContent ? Base : 0];
    if (Encoded.empty()) {
      const std::string &WholeSet = *Cache.find(Follower.held());
      Config::SetSnapshot Snapshot;
      Snapshot.Node = Settings.Name;
      Snapshot.SetVersion = Follower.held();
      Snapshot.Base = BaseContent ? Base : 0;
      Snapshot.Content.Changed =
          BaseContent ? Wire::makePatch(*BaseContent, WholeSet) : WholeSet;
      Snapshot.Hash = Common::hashOf(WholeSet);
      Snapshot.SourceEra = Follower.sourceEra();
      Encoded = Wire::encodeReplication(Snapshot);
    }
    reply(Origin, Encoded);
  }

  void reply(OriginId Origin, const std::string &Encoded) {
    Targets.ToControl.post(ReplyEnvelope{Origin, ConfigName, Encoded});
  }

  // The last sets in the form in which the source delivered them, for peers.
  struct SetCache {
    struct Waiter {
      Config::Version HeldVersion = 0;
      Common::SteadyTime Deadline;
    };

    void add(Config::Version Number, std::string Content) {
      EncodedAnswers.clear();
      Contents.emplace(Number, std::move(Content));
      if (Contents.size() > MaxCachedSets)
        Contents.erase(Contents.begin());
    }
    const std::string *find(Config::Version Number) const {
      const auto Found = Contents.find(Number);
      return Found == Contents.end() ? nullptr : &Found->second;
    }

    std::map<Config::Version, std::string> Contents;
    // Encoded answers that carry the newest set, by the version of their base;
    // 0 for the whole set.
    std::map<Config::Version, std::string> EncodedAnswers;
    // Long-polling peers, by the connection to answer on.
    std::map<OriginId, Waiter> Waiters;
  };

  // How long peers may long-poll here while it is unknown whether the source
  // answers this node. Leaves them time for a read of their own.
  static constexpr Common::Micros TakeOverLimit{400'000};
  // The newest set and the bases for peers that are one or two versions behind.
  static constexpr std::size_t MaxCachedSets = 3;
  // Far more than any set needs; bounds the memory that a damaged patch can
  // request.
  static constexpr std::size_t MaxSetBytes = 64 << 20;

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  NodeSettings Settings;
  Sinks Targets;
  std::unique_ptr<Source> ConfigSource;
  Config::ConfigFollower Follower;
  SetCache Cache;
  // The result of the last read of the source.
  struct ReadResult {
    Common::ResultCode Code = Common::ResultCode::Ok;
    std::string Detail;
  };
  ReadResult LastRead;
  // The state last written to the log.
  std::string LoggedReader;
  bool LoggedCutOff = false;
  // The era that the recovery service knows from this one.
  std::optional<Recovery::StoreEra> ReportedEra;
};

} // namespace Node
