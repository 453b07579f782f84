#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Common/Rendezvous.h"
#include "Http/Client.h"
#include "Kernel/Host.h"
#include "Node/ClaimedCall.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Once/ClaimBatcher.h"
#include "Once/ClaimClient.h"
#include "OwnLog/LogClient.h"
#include "Wire/OnceCodec.h"

namespace Node {

// Claims the keys of this node's calls with the batchers of its data centre,
// and is itself a batcher when its rank asks for it.
template <Kernel::MessageSink<FrontMessage> Front,
          Kernel::MessageSink<ControlMessage> Control>
class ClaimsService {
public:
  using Message = ClaimsMessage;

  struct Sinks {
    Front ToFront;
    Control ToControl;
  };

  ClaimsService(Kernel::Context Around, const NodeSettings &Settings,
                Sinks Targets)
      : Home(Around.Home), Settings(Settings), Targets(std::move(Targets)),
        Random(std::random_device{}()), Name(processName(Settings)),
        Gate(Once::ClaimLimits()), Batcher(Name, limitsOf(Settings)) {}

  void start() {
    Transport = std::make_unique<Http::Client>(Home);
    Log = std::make_unique<OwnLog::LogClient>(*Transport, Settings.LogUrl);
  }

  void handle(Message Content) {
    // What passed while this process stood still comes first.
    tick();
    std::visit([this](auto &Part) { this->take(Part); }, Content);
    arm();
  }

  void drain(std::function<void()> Done) {
    // The outcomes of the last calls still have to reach a batcher.
    Clock.after(Once::BatcherLimits().OutcomeDelay * 2, std::move(Done));
  }

  void stop() {
    Log.reset();
    Transport.reset();
  }

private:
  // Ranks below this one read the log all the time, to take over at once.
  static constexpr std::size_t StandingBatchers = 2;
  // How long a node goes on as a batcher after it was last asked.
  static constexpr Common::Micros IdleLimit{60'000'000};
  static constexpr Common::Micros AppendLimit{1'000'000};
  static constexpr Common::Micros ReadWait{2'000'000};
  static constexpr Common::Micros MaxRemaining{3'600'000'000};

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  // Unique among all nodes and their restarts.
  static std::string processName(const NodeSettings &Settings) {
    const auto Started = std::chrono::duration_cast<Common::Micros>(
        std::chrono::system_clock::now().time_since_epoch());
    return Settings.Name + "/" + std::to_string(Started.count());
  }

  static Once::BatcherLimits limitsOf(const NodeSettings &Settings) {
    Once::BatcherLimits Limits;
    Limits.Window = Settings.ClaimWindow;
    Limits.AppendInterval = Settings.ClaimInterval;
    Limits.MaxClaimsInBatch = Settings.ClaimBatch;
    Limits.MaxOutcomesInBatch = Settings.ClaimBatch;
    return Limits;
  }

  void take(ClaimCall &Part) {
    Once::Claim Wanted;
    Wanted.Key = Part.Key.scoped();
    Wanted.Holder = Name + "/" + std::to_string(Part.Call);
    Wanted.Fingerprint = Part.Fingerprint;
    Wanted.IssuedAt = Part.Key.IssuedAt;
    act(Gate.begin(Part.Call, std::move(Wanted), Part.Deadline, now()));
  }
  void take(ClaimedCallEnded &Part) {
    act(Gate.onCallEnded(Part.Call,
                         toOutcome(Part.Reply, Settings.ClaimAnswerLimit)));
  }
  void take(MembersChanged &Part) {
    Addresses.clear();
    std::vector<std::string> Names;
    for (const Membership::Member &Each : *Part.Alive) {
      const bool IsSelf = Each.Node == Settings.Name;
      const bool IsReachable = Each.ControlPort != 0 || IsSelf;
      if (Each.DataCentre != Settings.DataCentre || !IsReachable)
        continue;
      Names.push_back(Each.Node);
      Addresses[Each.Node] =
          Each.Address + ":" + std::to_string(Each.ControlPort);
    }
    std::vector<std::string> Order = Common::rankByRendezvous(
        "claims/" + Settings.DataCentre, std::move(Names));
    if (Order == Ranked)
      return;
    Ranked = std::move(Order);
    followLog();
    act(Gate.resendAll(now()));
  }
  // The gate asks the next batcher by itself when it hears nothing.
  void take(EnvelopeLost &) {}
  void take(EnvelopeArrived &Part) {
    try {
      auto Content = Wire::decodeClaimsEnvelope(Part.Content);
      std::visit(
          [this, &Part](auto &Inner) { this->takeFrom(Part.Origin, Inner); },
          Content);
    } catch (const Common::Error &Failure) {
      spdlog::warn("claims envelope: {}", Failure.what());
    }
  }

  void takeFrom(OriginId Origin, Wire::ClaimAsk &Asked) {
    LastAsked = now();
    followLog();
    const Common::Micros Remaining = std::min(Asked.Remaining, MaxRemaining);
    act(Batcher.submitClaim(
        {std::move(Asked.Wanted), now() + Remaining, Origin}, now()));
  }
  void takeFrom(OriginId, Once::ClaimDecision &Told) {
    act(Gate.onDecision(Told, now()));
  }
  void takeFrom(OriginId, Once::Outcome &Ended) {
    act(Batcher.submitOutcome(std::move(Ended), now()));
  }

  void act(const Once::ClaimActions &Actions) {
    for (const Once::ClaimAction &Each : Actions)
      std::visit([this](const auto &Part) { this->perform(Part); }, Each);
  }
  void act(const Once::BatcherActions &Actions) {
    for (const Once::BatcherAction &Each : Actions)
      std::visit([this](const auto &Part) { this->perform(Part); }, Each);
  }

  void perform(const Once::SendClaim &Part) {
    Wire::ClaimAsk Asked{Part.Requested, Part.Remaining};
    sendTo(Part.Rank, Asked);
  }
  void perform(const Once::SendOutcome &Part) {
    Once::Outcome Ended = Part.Content;
    sendTo(Part.Rank, Ended);
  }
  void perform(const Once::AdmitCall &Part) {
    decide({Part.Call, Common::ResultCode::Ok, {}});
  }
  void perform(const Once::RefuseCall &Part) {
    decide({Part.Call, Part.Code, {}});
  }
  void perform(const Once::ReplayOutcome &Part) {
    decide({Part.Call, Part.Recorded.Result, toReply(Part.Recorded)});
  }
  void perform(const Once::AppendBatch &Part) {
    Log->append(
        Settings.ClaimStream, Wire::encodeClaimBatch(Part.Content), AppendLimit,
        [this, Id = Part.Content.Id](const OwnLog::AppendResult &Result) {
          tick();
          act(Batcher.onAppendFinished(Id, Result.Code, now()));
          arm();
        });
  }
  void perform(const Once::SendDecision &Part) {
    if (Part.Origin == LocalOrigin)
      act(Gate.onDecision(Part.Decision, now()));
    else
      Targets.ToControl.post(ReplyEnvelope{
          Part.Origin, ClaimsName, Wire::encodeClaimsEnvelope(Part.Decision)});
  }

  // The front has room for as many answers as it has asked for.
  void decide(ClaimDecided Part) { Targets.ToFront.post(std::move(Part)); }

  template <class Content> void sendTo(std::size_t Rank, Content &Part) {
    if (Ranked.empty() || Ranked[Rank % Ranked.size()] == Settings.Name) {
      takeFrom(LocalOrigin, Part);
      return;
    }
    Targets.ToControl.post(
        SendEnvelope{Addresses.at(Ranked[Rank % Ranked.size()]), ClaimsName,
                     Wire::encodeClaimsEnvelope(Part)});
  }

  // Whether this node has to know the claims of the window.
  bool mustFollow() const {
    const auto Own = std::find(Ranked.begin(), Ranked.end(), Settings.Name);
    const auto Rank = static_cast<std::size_t>(Own - Ranked.begin());
    return Rank < StandingBatchers ||
           (LastAsked && now() < *LastAsked + IdleLimit);
  }

  void followLog() {
    if (Following || !mustFollow())
      return;
    Following = true;
    NextOffset = 1;
    spdlog::info("reads the claims of the window");
    read();
  }

  void read() {
    if (!mustFollow()) {
      Following = false;
      Batcher.reset();
      return;
    }
    // Until all is known an empty answer has to come at once.
    const Common::Micros Wait =
        Batcher.isReady() ? ReadWait : Common::Micros(0);
    Log->read(Settings.ClaimStream, NextOffset, Wait,
              [this](const OwnLog::ReadResult &Result) {
                tick();
                takeRecords(Result);
                arm();
              });
  }

  void takeRecords(const OwnLog::ReadResult &Result) {
    if (Result.Code == Common::ResultCode::LogOffsetExpired) {
      Batcher.reset();
      NextOffset = Result.First;
      readLater();
      return;
    }
    if (Result.Code != Common::ResultCode::Ok) {
      spdlog::warn("log of claims: {} {}", Common::resultCodeName(Result.Code),
                   Result.Detail);
      readLater();
      return;
    }
    for (const OwnLog::LogRecord &Each : Result.Records)
      takeRecord(Each);
    if (NextOffset >= Result.Next && !Batcher.isReady()) {
      spdlog::info("knows {} claims", Batcher.indexedClaims());
      Batcher.markReady();
    }
    read();
  }

  void takeRecord(const OwnLog::LogRecord &Taken) {
    NextOffset = Taken.At + 1;
    Once::Batch Content;
    try {
      Content = Wire::decodeClaimBatch(Taken.Content);
    } catch (const Common::Error &Failure) {
      // Every reader passes over it alike.
      spdlog::warn("claims record {}: {}", Taken.At, Failure.what());
      return;
    }
    act(Batcher.onRecordRead(Taken.Appended, Content, now()));
  }

  void readLater() {
    // Jitter keeps batchers from returning in step.
    std::uniform_int_distribution<int> Delay(50, 150);
    Clock.after(Common::Millis(Delay(Random)), [this] { read(); });
  }

  void tick() {
    act(Gate.tick(now()));
    act(Batcher.tick(now()));
  }

  void arm() {
    std::optional<Common::SteadyTime> Next = Gate.nextDue();
    if (const auto Other = Batcher.nextDue())
      Next = Next ? std::min(*Next, *Other) : *Other;
    if (!Next || (Timer && ArmedFor <= *Next))
      return;
    if (Timer)
      Clock.cancel(*Timer);
    ArmedFor = *Next;
    Timer = Clock.after(*Next - now(), [this] {
      Timer.reset();
      tick();
      arm();
    });
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  Sinks Targets;
  std::mt19937_64 Random;
  std::string Name;
  Once::ClaimClient Gate;
  Once::ClaimBatcher<> Batcher;
  std::unique_ptr<Http::Client> Transport;
  std::unique_ptr<OwnLog::LogClient> Log;
  // The living nodes of this data centre by rank, and their control sockets.
  std::vector<std::string> Ranked;
  std::map<std::string, Routing::NodeAddress> Addresses;
  bool Following = false;
  std::optional<Common::SteadyTime> LastAsked;
  OwnLog::Offset NextOffset = 1;
  std::optional<Kernel::TimerId> Timer;
  Common::SteadyTime ArmedFor;
};

} // namespace Node
