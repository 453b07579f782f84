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

// Runs the decisions on spreading: reads the log when this node is the reader
// of its data centre, exchanges sets with other nodes and hands each accepted
// set to the front, whole.
template <Kernel::MessageSink<FrontMessage> Front,
          Kernel::MessageSink<AdminMessage> Admin,
          Kernel::MessageSink<ControlMessage> Control>
class ConfigService {
public:
  using Message = ConfigMessage;

  struct Sinks {
    Front ToFront;
    Admin ToAdmin;
    Control ToControl;
  };

  ConfigService(Kernel::Context Around, const NodeSettings &Settings,
                Sinks Targets)
      : Home(Around.Home), Settings(Settings), Targets(std::move(Targets)),
        Random(std::random_device{}()),
        Spread(optionsFrom(Settings, Random()), now()) {}

  void start() {
    Transport = std::make_unique<Http::Client>(Home);
    Log = std::make_unique<OwnLog::LogClient>(*Transport, Settings.LogUrl);
    tick();
  }

  void handle(const Message &Content) {
    std::visit([this](const auto &Part) { this->take(Part); }, Content);
  }

  void stop() {
    Log.reset();
    Transport.reset();
  }

private:
  static constexpr Common::Millis TickInterval{100};
  static constexpr Common::Millis LeastRetry{100};
  static constexpr Common::Millis MostRetry{1000};
  static constexpr Common::Millis HaltedRetry{10'000};
  static constexpr Common::Micros AppendLimit{5'000'000};
  static constexpr std::size_t ChunkBytes = 256 << 10;
  static constexpr const char *LogBytes = "log-read";

  static Config::ReplicationOptions optionsFrom(const NodeSettings &Settings,
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
    if (ChangedMembers)
      usePeers(*std::exchange(ChangedMembers, nullptr));
    act(Spread.tick(now()));
    reportBytes();
    Clock.after(TickInterval, [this] { tick(); });
  }

  // While a change spreads, the versions of all members change one by one.
  // They are taken over together at the next tick.
  void take(const MembersChanged &Part) { ChangedMembers = Part.Alive; }

  void usePeers(const std::vector<Membership::Member> &Alive) {
    std::vector<Config::ReplicationPeer> Peers;
    Peers.reserve(Alive.size());
    for (const Membership::Member &Each : Alive)
      Peers.push_back({Each.Node, Each.DataCentre,
                       Each.Address + ":" + std::to_string(Each.ControlPort),
                       Each.ConfigVersion});
    act(Spread.setPeers(std::move(Peers), now()));
  }
  void take(const EnvelopeArrived &Part) {
    try {
      const Config::ReplicationMessage Content =
          Wire::decodeSpread(Part.Content);
      count("received-" + kindOf(Content), Part.Content.size());
      act(Spread.handleMessage(Content, Part.Origin, now()));
    } catch (const Common::Error &Failure) {
      spdlog::warn("configuration message: {}", Failure.what());
    }
  }
  void take(const EnvelopeLost &Part) {
    act(Spread.handlePeerLost(Part.Address, now()));
  }

  void act(const Config::ReplicationActions &Actions) {
    for (const Config::ReplicationAction &Each : Actions)
      std::visit([this](const auto &Part) { this->perform(Part); }, Each);
  }

  void perform(const Config::StartReading &) {
    spdlog::info("this node reads the log for data centre {}",
                 Settings.DataCentre);
    if (!Waiting)
      read();
  }
  void perform(const Config::StopReading &) {
    spdlog::info("another node reads the log");
    if (Transfer)
      Log->cancel(*Transfer);
    Transfer.reset();
    if (Retry)
      Clock.cancel(*Retry);
    Retry.reset();
    Waiting = false;
  }
  void perform(const Config::InstallSet &Part) {
    spdlog::info("version {} is accepted", Part.Newest.SetVersion);
    Targets.ToFront.post(ConfigAccepted{Part.Newest});
  }
  void perform(const Config::SendToPeer &Part) {
    Targets.ToControl.post(
        SendEnvelope{Part.Address, ConfigName, encode(Part.Message)});
  }
  void perform(const Config::AnswerPeer &Part) {
    Targets.ToControl.post(
        ReplyEnvelope{Part.Link, ConfigName, encode(Part.Message)});
  }
  void perform(const Config::ReportRejectedSnapshot &Part) {
    spdlog::warn("version {} from {} is not taken: {}", Part.SetVersion,
                 Part.Node, Common::resultCodeName(Part.Code));
  }
  void perform(const Config::WriteCheckpoint &) {
    auto Chunks = std::make_shared<std::vector<Config::CheckpointChunk>>(
        Config::splitCheckpoint(Settings.Name + "-" + std::to_string(Random()),
                                Spread.history(), ChunkBytes));
    writeChunk(Chunks, 0);
  }

  std::string encode(const Config::ReplicationMessage &Content) {
    const auto *Set = std::get_if<Config::SetSnapshot>(&Content);
    std::string Bytes = Set ? encodeOnce(*Set) : Wire::encodeSpread(Content);
    count("sent-" + kindOf(Content), Bytes.size());
    return Bytes;
  }

  // A set goes to many nodes; it is compressed once for each base.
  std::string encodeOnce(const Config::SetSnapshot &Set) {
    if (EncodedNumber != Set.SetVersion)
      Encoded.clear();
    EncodedNumber = Set.SetVersion;
    std::string &Bytes = Encoded[Set.Base];
    if (Bytes.empty())
      Bytes = Wire::encodeSpread(Set);
    return Bytes;
  }

  static std::string kindOf(const Config::ReplicationMessage &Content) {
    if (const auto *Set = std::get_if<Config::SetSnapshot>(&Content))
      return Set->Base == 0 ? "whole-set" : "delta";
    if (std::holds_alternative<Config::SetRequest>(Content))
      return "request";
    return std::holds_alternative<Config::HeldVersion>(Content) ? "held-version"
                                                                : "refusal";
  }

  void count(const std::string &Kind, std::size_t Bytes) {
    ByteCount &Sum = Traffic[Kind];
    ++Sum.Messages;
    Sum.Bytes += Bytes;
    TrafficChanged = true;
  }

  void reportBytes() {
    if (!TrafficChanged)
      return;
    TrafficChanged = false;
    Targets.ToAdmin.post(ConfigTraffic{Traffic});
  }

  void read() {
    Waiting = true;
    ReadBegan = now();
    Transfer =
        Log->read(Settings.LogStream, Spread.history().lastOffset() + 1,
                  Settings.LogWait, [this](const OwnLog::ReadResult &Result) {
                    Transfer.reset();
                    Waiting = false;
                    take(Result);
                  });
  }

  void readAfter(Common::Millis Most) {
    if (Waiting)
      return;
    Waiting = true;
    // Jitter keeps a herd of nodes from returning in step.
    std::uniform_int_distribution<Common::Millis::rep> Delay(LeastRetry.count(),
                                                             Most.count());
    Retry = Clock.after(Common::Millis(Delay(Random)), [this] {
      Retry.reset();
      Waiting = false;
      readOn();
    });
  }

  void readOn() {
    if (Spread.isReading() && !Waiting)
      read();
  }

  void take(const OwnLog::ReadResult &Result) {
    count(LogBytes, Result.Bytes);
    if (Result.Code == Common::ResultCode::LogOffsetExpired) {
      loadCheckpoint(Result.First);
      return;
    }
    if (Result.Code != Common::ResultCode::Ok) {
      spdlog::warn("log: {} {}", Common::resultCodeName(Result.Code),
                   Result.Detail);
      Spread.handleLogFailure();
      readAfter(MostRetry);
      return;
    }
    for (const OwnLog::LogRecord &Each : Result.Records)
      judge(Each);
    const bool Stuck = Spread.history().isHalted();
    const bool AtEnd =
        Stuck || Spread.history().lastOffset() + 1 >= Result.Next;
    act(Spread.handleLogRead(AtEnd, now()));
    // A log that does not wait must not make this node spin.
    const bool Hasty =
        Result.Records.empty() && now() - ReadBegan < Settings.LogWait / 2;
    if (Stuck)
      readAfter(HaltedRetry);
    else if (Hasty)
      readAfter(MostRetry);
    else
      readOn();
  }

  void judge(const OwnLog::LogRecord &Taken) {
    std::optional<Config::RecordResult> Judged;
    try {
      act(Spread.handleRecord(Taken.At, Wire::decodeRecord(Taken.Content),
                              Judged, now()));
    } catch (const Common::Error &Failure) {
      act(Spread.handleMalformedRecord(Taken.At, Failure.what(), Judged,
                                       now()));
    }
    if (!Judged)
      return;
    Targets.ToAdmin.post(RecordJudged{*Judged});
    if (!Judged->isAccepted())
      spdlog::warn("record {}: {} {}", Judged->Offset,
                   Common::resultCodeName(Judged->Code), Judged->Detail);
  }

  // The records before ConfigFirst are gone; only a checkpoint can tell what
  // they made.
  void loadCheckpoint(Config::Version ConfigFirst) {
    Waiting = true;
    Transfer =
        Log->read(Settings.CheckpointStream, CheckpointNext, Common::Micros(0),
                  [this, ConfigFirst](const OwnLog::ReadResult &Result) {
                    Transfer.reset();
                    Waiting = false;
                    takeChunks(ConfigFirst, Result);
                  });
  }

  void takeChunks(Config::Version ConfigFirst,
                  const OwnLog::ReadResult &Result) {
    count("checkpoint-read", Result.Bytes);
    if (Result.Code == Common::ResultCode::LogOffsetExpired &&
        Result.First > CheckpointNext) {
      CheckpointNext = Result.First;
      loadCheckpoint(ConfigFirst);
      return;
    }
    if (Result.Code != Common::ResultCode::Ok) {
      Spread.handleLogFailure();
      readAfter(MostRetry);
      return;
    }
    for (const OwnLog::LogRecord &Each : Result.Records) {
      CheckpointNext = Each.At + 1;
      takeChunk(Each);
    }
    if (!Result.Records.empty() && CheckpointNext < Result.Next) {
      loadCheckpoint(ConfigFirst);
      return;
    }
    restore(ConfigFirst);
  }

  void takeChunk(const OwnLog::LogRecord &Taken) {
    try {
      const Common::ResultCode Code =
          Checkpoints.addChunk(Wire::decodeChunk(Taken.Content));
      if (Code != Common::ResultCode::Ok)
        spdlog::warn("checkpoint record {}: {}", Taken.At,
                     Common::resultCodeName(Code));
    } catch (const Common::Error &Failure) {
      spdlog::warn("checkpoint record {}: {}", Taken.At, Failure.what());
    }
  }

  void restore(Config::Version ConfigFirst) {
    const auto &Newest = Checkpoints.newest();
    Common::ResultCode Code = Common::ResultCode::HistoryGap;
    if (Newest && Newest->Offset + 1 >= ConfigFirst)
      act(Spread.restoreCheckpoint(*Newest, Code, now()));
    if (Code == Common::ResultCode::Ok) {
      spdlog::info("checkpoint of offset {} with version {} is loaded",
                   Newest->Offset, Newest->SetVersion);
      readOn();
      return;
    }
    spdlog::error("{} {}: the log begins at {}, this node has {}",
                  Common::resultCodeNumber(Code), Common::resultCodeName(Code),
                  ConfigFirst, Spread.history().lastOffset());
    Spread.handleLogFailure();
    readAfter(MostRetry);
  }

  using Chunks = std::shared_ptr<std::vector<Config::CheckpointChunk>>;

  void writeChunk(const Chunks &Parts, std::size_t Index) {
    if (Index == Parts->size()) {
      spdlog::info("checkpoint of version {} is written",
                   Parts->empty() ? 0 : Parts->front().SetVersion);
      return;
    }
    std::string Content = Wire::encodeChunk((*Parts)[Index]);
    count("checkpoint-written", Content.size());
    Log->append(Settings.CheckpointStream, std::move(Content), AppendLimit,
                [this, Parts, Index](const OwnLog::AppendResult &Result) {
                  if (Result.Code != Common::ResultCode::Ok) {
                    spdlog::warn("checkpoint: {} {}",
                                 Common::resultCodeName(Result.Code),
                                 Result.Detail);
                    Spread.handleCheckpointFailure(now());
                    return;
                  }
                  writeChunk(Parts, Index + 1);
                });
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  Sinks Targets;
  std::mt19937_64 Random;
  Config::ConfigReplicator Spread;
  std::shared_ptr<const std::vector<Membership::Member>> ChangedMembers;
  Config::CheckpointAssembler Checkpoints;
  OwnLog::Offset CheckpointNext = 1;
  std::map<std::string, ByteCount> Traffic;
  Config::Version EncodedNumber = 0;
  std::map<Config::Version, std::string> Encoded;
  bool TrafficChanged = false;
  // A read is under way or will begin by a timer.
  bool Waiting = false;
  Common::SteadyTime ReadBegan;
  std::optional<Http::TransferId> Transfer;
  std::optional<Kernel::TimerId> Retry;
  std::unique_ptr<Http::Client> Transport;
  std::unique_ptr<OwnLog::LogClient> Log;
};

} // namespace Node
