#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Config/Checkpoint.h"
#include "Config/ConfigReplicator.h"
#include "Http/Client.h"
#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "OwnLog/LogClient.h"
#include "Wire/Codec.h"
#include "Wire/ConfigCodec.h"

namespace Node {

// Carries out the decisions of the replicator: reads the log when this node is
// the reader of its data centre, exchanges sets with other nodes and passes
// each accepted set to the ingress as a whole.
template <Kernel::MessageSink<IngressMessage> Ingress,
          Kernel::MessageSink<AdminMessage> Admin,
          Kernel::MessageSink<ControlMessage> Control>
class ConfigService {
public:
  using Message = ConfigMessage;

  struct Sinks {
    Ingress ToIngress;
    Admin ToAdmin;
    Control ToControl;
  };

  ConfigService(Kernel::Context Context, const NodeSettings &Settings,
                Sinks Targets)
      : Task(Context.ServiceTask), Settings(Settings),
        Targets(std::move(Targets)), Random(std::random_device{}()),
        Replicator(optionsOf(Settings, Random()), now()) {}

  void start() {
    Transport = std::make_unique<Http::Client>(Task);
    Log = std::make_unique<OwnLog::LogClient>(*Transport, Settings.LogUrl);
    tick();
  }

  void handle(const Message &Content) {
    std::visit([this](const auto &Event) { this->onMessage(Event); }, Content);
  }

  void stop() {
    Log.reset();
    Transport.reset();
  }

private:
  static constexpr Common::Millis TickInterval{100};
  static constexpr Common::Millis MinRetryDelay{100};
  static constexpr Common::Millis MaxRetryDelay{1000};
  static constexpr Common::Millis HaltedRetryDelay{10'000};
  static constexpr Common::Micros AppendTimeout{5'000'000};
  static constexpr std::size_t ChunkBytes = 256 << 10;
  static constexpr const char *LogReadTraffic = "log-read";

  static Config::ReplicationOptions optionsOf(const NodeSettings &Settings,
                                              std::uint64_t Seed) {
    Config::ReplicationOptions Options;
    Options.Node = Settings.Name;
    Options.DataCentre = Settings.DataCentre;
    Options.EveryNodeReads = Settings.EveryNodeReads;
    Options.Seed = Seed;
    Options.CheckpointInterval = Settings.CheckpointInterval;
    return Options;
  }

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void tick() {
    if (PendingMembers)
      usePeers(*std::exchange(PendingMembers, nullptr));
    act(Replicator.tick(now()));
    reportTraffic();
    Clock.after(TickInterval, [this] { tick(); });
  }

  // While a change is replicated, the versions of all members change one by
  // one. The next tick applies them together.
  void onMessage(const MembersChanged &Event) { PendingMembers = Event.Alive; }

  void usePeers(const std::vector<Membership::Member> &Alive) {
    std::vector<Config::ReplicationPeer> Peers;
    Peers.reserve(Alive.size());
    for (const Membership::Member &Peer : Alive)
      Peers.push_back({Peer.Node, Peer.DataCentre,
                       Peer.Address + ":" + std::to_string(Peer.ControlPort),
                       Peer.ConfigVersion});
    act(Replicator.setPeers(std::move(Peers), now()));
  }
  void onMessage(const EnvelopeArrived &Event) {
    try {
      const Config::ReplicationMessage Content =
          Wire::decodeReplication(Event.Content);
      countTraffic("received-" + trafficKindOf(Content), Event.Content.size());
      act(Replicator.handleMessage(Content, Event.Origin, now()));
    } catch (const Common::Error &Failure) {
      spdlog::warn("configuration message is refused: {}", Failure.what());
    }
  }
  // The product's own log is never replaced by an older copy.
  void onMessage(const StoreEraChanged &) {}
  void onMessage(const EnvelopeConnectionLost &Event) {
    act(Replicator.handlePeerLost(Event.Address, now()));
  }

  void act(const Config::ReplicationActions &Actions) {
    for (const Config::ReplicationAction &Entry : Actions)
      std::visit([this](const auto &Action) { this->perform(Action); }, Entry);
  }

  void perform(const Config::StartReading &) {
    spdlog::info("this node reads the log for data centre {}",
                 Settings.DataCentre);
    if (!ReadPending)
      readLog();
  }
  void perform(const Config::StopReading &) {
    spdlog::info("another node reads the log");
    if (Transfer)
      Log->cancel(*Transfer);
    Transfer.reset();
    if (Retry)
      Clock.cancel(*Retry);
    Retry.reset();
    ReadPending = false;
  }
  void perform(const Config::InstallSet &Action) {
    spdlog::info("configuration version {} is accepted",
                 Action.Newest.SetVersion);
    Targets.ToIngress.post(ConfigAccepted{Action.Newest});
  }
  void perform(const Config::SendToPeer &Action) {
    Targets.ToControl.post(
        SendEnvelope{Action.Address, ConfigName, encode(Action.Message)});
  }
  void perform(const Config::AnswerPeer &Action) {
    Targets.ToControl.post(
        ReplyEnvelope{Action.Link, ConfigName, encode(Action.Message)});
  }
  void perform(const Config::ReportRejectedSnapshot &Action) {
    spdlog::warn("set of version {} from node {} is refused: {}",
                 Action.SetVersion, Action.Node,
                 Common::resultCodeName(Action.Code));
  }
  void perform(const Config::WriteCheckpoint &) {
    auto Chunks = std::make_shared<std::vector<Config::CheckpointChunk>>(
        Config::splitCheckpoint(Settings.Name + "-" + std::to_string(Random()),
                                Replicator.history(), ChunkBytes));
    writeChunk(Chunks, 0);
  }

  std::string encode(const Config::ReplicationMessage &Content) {
    const auto *Set = std::get_if<Config::SetSnapshot>(&Content);
    std::string Bytes =
        Set ? encodeCached(*Set) : Wire::encodeReplication(Content);
    countTraffic("sent-" + trafficKindOf(Content), Bytes.size());
    return Bytes;
  }

  // The same set goes to many nodes, so it is compressed only once per base.
  std::string encodeCached(const Config::SetSnapshot &Set) {
    if (EncodedVersion != Set.SetVersion)
      EncodedSets.clear();
    EncodedVersion = Set.SetVersion;
    std::string &Bytes = EncodedSets[Set.Base];
    if (Bytes.empty())
      Bytes = Wire::encodeReplication(Set);
    return Bytes;
  }

  static std::string trafficKindOf(const Config::ReplicationMessage &Content) {
    if (const auto *Set = std::get_if<Config::SetSnapshot>(&Content))
      return Set->Base == 0 ? "whole-set" : "delta";
    if (std::holds_alternative<Config::SetRequest>(Content))
      return "request";
    return std::holds_alternative<Config::HeldVersion>(Content) ? "held-version"
                                                                : "refusal";
  }

  void countTraffic(const std::string &Kind, std::size_t Bytes) {
    TrafficCounter &Sum = Traffic[Kind];
    ++Sum.Messages;
    Sum.Bytes += Bytes;
    TrafficChanged = true;
  }

  void reportTraffic() {
    if (!TrafficChanged)
      return;
    TrafficChanged = false;
    Targets.ToAdmin.post(ConfigTraffic{Traffic});
  }

  void readLog() {
    ReadPending = true;
    ReadStarted = now();
    Transfer =
        Log->read(Settings.LogStream, Replicator.history().lastOffset() + 1,
                  Settings.LogWait, [this](const OwnLog::ReadResult &Result) {
                    Transfer.reset();
                    ReadPending = false;
                    onLogRead(Result);
                  });
  }

  void retryReadAfter(Common::Millis MaxDelay) {
    if (ReadPending)
      return;
    ReadPending = true;
    // Jitter keeps many nodes from retrying at the same time.
    std::uniform_int_distribution<Common::Millis::rep> Delay(
        MinRetryDelay.count(), MaxDelay.count());
    Retry = Clock.after(Common::Millis(Delay(Random)), [this] {
      Retry.reset();
      ReadPending = false;
      continueReading();
    });
  }

  void continueReading() {
    if (Replicator.isReading() && !ReadPending)
      readLog();
  }

  void onLogRead(const OwnLog::ReadResult &Result) {
    countTraffic(LogReadTraffic, Result.BodyBytes);
    if (Result.Code == Common::ResultCode::LogOffsetExpired) {
      readCheckpoint(Result.FirstOffset);
      return;
    }
    if (Result.Code != Common::ResultCode::Ok) {
      spdlog::warn("reading the configuration log failed: {} {}",
                   Common::resultCodeName(Result.Code), Result.Detail);
      Replicator.handleLogFailure();
      retryReadAfter(MaxRetryDelay);
      return;
    }
    for (const OwnLog::LogRecord &Record : Result.Records)
      validateRecord(Record);
    const bool IsHalted = Replicator.history().isHalted();
    const bool AtEnd =
        IsHalted || Replicator.history().lastOffset() + 1 >= Result.NextOffset;
    act(Replicator.handleLogRead(AtEnd, now()));
    // A log that answers without waiting must not turn this into a busy loop.
    const bool AnsweredEarly =
        Result.Records.empty() && now() - ReadStarted < Settings.LogWait / 2;
    if (IsHalted)
      retryReadAfter(HaltedRetryDelay);
    else if (AnsweredEarly)
      retryReadAfter(MaxRetryDelay);
    else
      continueReading();
  }

  void validateRecord(const OwnLog::LogRecord &Record) {
    std::optional<Config::RecordResult> Result;
    try {
      act(Replicator.handleRecord(Record.RecordOffset,
                                  Wire::decodeRecord(Record.Content), Result,
                                  now()));
    } catch (const Common::Error &Failure) {
      act(Replicator.handleMalformedRecord(Record.RecordOffset, Failure.what(),
                                           Result, now()));
    }
    if (!Result)
      return;
    Targets.ToAdmin.post(RecordValidated{*Result});
    if (!Result->isAccepted())
      spdlog::warn("configuration record {} is rejected: {} {}", Result->Offset,
                   Common::resultCodeName(Result->Code), Result->Detail);
  }

  // The records before FirstOffset have expired; only a checkpoint still holds
  // their result.
  void readCheckpoint(Config::Version FirstOffset) {
    ReadPending = true;
    Transfer =
        Log->read(Settings.CheckpointStream, CheckpointNext, Common::Micros(0),
                  [this, FirstOffset](const OwnLog::ReadResult &Result) {
                    Transfer.reset();
                    ReadPending = false;
                    onCheckpointRead(FirstOffset, Result);
                  });
  }

  void onCheckpointRead(Config::Version FirstOffset,
                        const OwnLog::ReadResult &Result) {
    countTraffic("checkpoint-read", Result.BodyBytes);
    if (Result.Code == Common::ResultCode::LogOffsetExpired &&
        Result.FirstOffset > CheckpointNext) {
      CheckpointNext = Result.FirstOffset;
      readCheckpoint(FirstOffset);
      return;
    }
    if (Result.Code != Common::ResultCode::Ok) {
      Replicator.handleLogFailure();
      retryReadAfter(MaxRetryDelay);
      return;
    }
    for (const OwnLog::LogRecord &Record : Result.Records) {
      CheckpointNext = Record.RecordOffset + 1;
      addChunk(Record);
    }
    if (!Result.Records.empty() && CheckpointNext < Result.NextOffset) {
      readCheckpoint(FirstOffset);
      return;
    }
    restoreFromCheckpoint(FirstOffset);
  }

  void addChunk(const OwnLog::LogRecord &Record) {
    try {
      const Common::ResultCode Code =
          Checkpoints.addChunk(Wire::decodeChunk(Record.Content));
      if (Code != Common::ResultCode::Ok)
        spdlog::warn("checkpoint record {} is refused: {}", Record.RecordOffset,
                     Common::resultCodeName(Code));
    } catch (const Common::Error &Failure) {
      spdlog::warn("checkpoint record {} is refused: {}", Record.RecordOffset,
                   Failure.what());
    }
  }

  void restoreFromCheckpoint(Config::Version FirstOffset) {
    const auto &Newest = Checkpoints.newest();
    Common::ResultCode Code = Common::ResultCode::HistoryGap;
    if (Newest && Newest->Offset + 1 >= FirstOffset)
      act(Replicator.restoreCheckpoint(*Newest, Code, now()));
    if (Code == Common::ResultCode::Ok) {
      spdlog::info("checkpoint of offset {} with version {} is restored",
                   Newest->Offset, Newest->SetVersion);
      continueReading();
      return;
    }
    spdlog::error("{} {}: the configuration log begins at offset {}, but this "
                  "node has applied records only up to offset {}",
                  Common::resultCodeNumber(Code), Common::resultCodeName(Code),
                  FirstOffset, Replicator.history().lastOffset());
    Replicator.handleLogFailure();
    retryReadAfter(MaxRetryDelay);
  }

  using Chunks = std::shared_ptr<std::vector<Config::CheckpointChunk>>;

  void writeChunk(const Chunks &Parts, std::size_t Index) {
    if (Index == Parts->size()) {
      spdlog::info("checkpoint of version {} is written",
                   Parts->empty() ? 0 : Parts->front().SetVersion);
      return;
    }
    std::string Content = Wire::encodeChunk((*Parts)[Index]);
    countTraffic("checkpoint-written", Content.size());
    Log->append(Settings.CheckpointStream, std::move(Content), AppendTimeout,
                [this, Parts, Index](const OwnLog::AppendResult &Result) {
                  if (Result.Code != Common::ResultCode::Ok) {
                    spdlog::warn("writing a checkpoint failed: {} {}",
                                 Common::resultCodeName(Result.Code),
                                 Result.Detail);
                    Replicator.handleCheckpointFailure(now());
                    return;
                  }
                  writeChunk(Parts, Index + 1);
                });
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  NodeSettings Settings;
  Sinks Targets;
  std::mt19937_64 Random;
  Config::ConfigReplicator Replicator;
  std::shared_ptr<const std::vector<Membership::Member>> PendingMembers;
  Config::CheckpointAssembler Checkpoints;
  OwnLog::Offset CheckpointNext = 1;
  std::map<std::string, TrafficCounter> Traffic;
  Config::Version EncodedVersion = 0;
  std::map<Config::Version, std::string> EncodedSets;
  bool TrafficChanged = false;
  // A read is in progress or scheduled by a timer.
  bool ReadPending = false;
  Common::SteadyTime ReadStarted;
  std::optional<Http::TransferId> Transfer;
  std::optional<Kernel::TimerId> Retry;
  std::unique_ptr<Http::Client> Transport;
  std::unique_ptr<OwnLog::LogClient> Log;
};

} // namespace Node
