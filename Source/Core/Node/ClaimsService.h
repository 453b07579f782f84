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

// Claims the keys of this node's calls at the batchers of its data centre, and
// acts as a batcher itself when its rank requires it.
template <Kernel::MessageSink<IngressMessage> Ingress,
          Kernel::MessageSink<ControlMessage> Control>
class ClaimsService {
public:
  using Message = ClaimsMessage;

  struct Sinks {
    Ingress ToIngress;
    Control ToControl;
  };

  ClaimsService(Kernel::Context Context, const NodeSettings &Settings,
                Sinks Targets)
      : Task(Context.ServiceTask), Settings(Settings),
        Targets(std::move(Targets)), Random(std::random_device{}()),
        Name(processName(Settings)), Client(Once::ClaimLimits()),
        Batcher(Name, limitsOf(Settings)) {}

  void start() {
    Transport = std::make_unique<Http::Client>(Task);
    Log = std::make_unique<OwnLog::LogClient>(*Transport, Settings.LogUrl);
  }

  void handle(Message Content) {
    // Timers that expired while this process was paused are handled first.
    tick();
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
    armTimer();
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
  // Nodes of a rank below this one read the log at all times, so that each can
  // take over at once.
  static constexpr std::size_t PermanentBatchers = 2;
  // How long a node continues as a batcher after the last request for a claim.
  static constexpr Common::Micros IdleTimeout{60'000'000};
  static constexpr Common::Micros AppendTimeout{1'000'000};
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

  void onMessage(ClaimCall &Event) {
    Once::Claim Claim;
    Claim.Key = Event.Key.scoped();
    Claim.Holder = Name + "/" + std::to_string(Event.Call);
    Claim.Fingerprint = Event.Fingerprint;
    Claim.IssuedAt = Event.Key.IssuedAt;
    act(Client.begin(Event.Call, std::move(Claim), Event.Deadline, now()));
  }
  void onMessage(ClaimedCallEnded &Event) {
    act(Client.onCallEnded(Event.Call,
                           toOutcome(Event.Reply, Settings.ClaimAnswerLimit)));
  }
  void onMessage(MembersChanged &Event) {
    Addresses.clear();
    std::vector<std::string> Names;
    for (const Membership::Member &Member : *Event.Alive) {
      const bool IsSelf = Member.Node == Settings.Name;
      const bool IsReachable = Member.ControlPort != 0 || IsSelf;
      if (Member.DataCentre != Settings.DataCentre || !IsReachable)
        continue;
      Names.push_back(Member.Node);
      Addresses[Member.Node] =
          Member.Address + ":" + std::to_string(Member.ControlPort);
    }
    std::vector<std::string> NewRanking = Common::rankByRendezvous(
        "claims/" + Settings.DataCentre, std::move(Names));
    if (NewRanking == RankedNodes)
      return;
    RankedNodes = std::move(NewRanking);
    startFollowing();
    act(Client.resendAll(now()));
  }
  // Not needed: the claim client turns to the next batcher when it receives no
  // decision in time.
  void onMessage(EnvelopeConnectionLost &) {}
  void onMessage(EnvelopeArrived &Event) {
    try {
      auto Content = Wire::decodeClaimsEnvelope(Event.Content);
      std::visit(
          [this, &Event](auto &Payload) {
            this->onEnvelope(Event.Origin, Payload);
          },
          Content);
    } catch (const Common::Error &Failure) {
      spdlog::warn("message for claims is refused: {}", Failure.what());
    }
  }

  void onEnvelope(OriginId Origin, Wire::ClaimRequest &Request) {
    LastClaimRequest = now();
    startFollowing();
    const Common::Micros Remaining = std::min(Request.Remaining, MaxRemaining);
    act(Batcher.submitClaim(
        {std::move(Request.RequestedClaim), now() + Remaining, Origin}, now()));
  }
  void onEnvelope(OriginId, Once::ClaimDecision &Decision) {
    act(Client.onDecision(Decision, now()));
  }
  void onEnvelope(OriginId, Once::Outcome &Outcome) {
    act(Batcher.submitOutcome(std::move(Outcome), now()));
  }

  void act(const Once::ClaimActions &Actions) {
    for (const Once::ClaimAction &Entry : Actions)
      std::visit([this](const auto &Action) { this->perform(Action); }, Entry);
  }
  void act(const Once::BatcherActions &Actions) {
    for (const Once::BatcherAction &Entry : Actions)
      std::visit([this](const auto &Action) { this->perform(Action); }, Entry);
  }

  void perform(const Once::SendClaim &Action) {
    Wire::ClaimRequest Request{Action.Requested, Action.Remaining};
    sendTo(Action.Rank, Request);
  }
  void perform(const Once::SendOutcome &Action) {
    Once::Outcome Outcome = Action.Content;
    sendTo(Action.Rank, Outcome);
  }
  void perform(const Once::AdmitCall &Action) {
    reportDecision({Action.Call, Common::ResultCode::Ok, {}});
  }
  void perform(const Once::RefuseCall &Action) {
    reportDecision({Action.Call, Action.Code, {}});
  }
  void perform(const Once::ReplayOutcome &Action) {
    reportDecision(
        {Action.Call, Action.Recorded.Result, toReply(Action.Recorded)});
  }
  void perform(const Once::AppendBatch &Action) {
    Log->append(
        Settings.ClaimStream, Wire::encodeClaimBatch(Action.Content),
        AppendTimeout,
        [this, Id = Action.Content.Id](const OwnLog::AppendResult &Result) {
          tick();
          act(Batcher.onAppendFinished(Id, Result.Code, now()));
          armTimer();
        });
  }
  void perform(const Once::SendDecision &Action) {
    if (Action.Origin == LocalOrigin)
      act(Client.onDecision(Action.Decision, now()));
    else
      Targets.ToControl.post(
          ReplyEnvelope{Action.Origin, ClaimsName,
                        Wire::encodeClaimsEnvelope(Action.Decision)});
  }

  // The mailbox of the ingress has room for a decision on each claim that it
  // requested.
  void reportDecision(ClaimDecided Decision) {
    Targets.ToIngress.post(std::move(Decision));
  }

  template <class Content> void sendTo(std::size_t Rank, Content &Payload) {
    if (RankedNodes.empty() ||
        RankedNodes[Rank % RankedNodes.size()] == Settings.Name) {
      onEnvelope(LocalOrigin, Payload);
      return;
    }
    Targets.ToControl.post(
        SendEnvelope{Addresses.at(RankedNodes[Rank % RankedNodes.size()]),
                     ClaimsName, Wire::encodeClaimsEnvelope(Payload)});
  }

  // Whether this node has to keep the claims of the key window in memory.
  bool mustFollowLog() const {
    const auto Self =
        std::find(RankedNodes.begin(), RankedNodes.end(), Settings.Name);
    const auto Rank = static_cast<std::size_t>(Self - RankedNodes.begin());
    return Rank < PermanentBatchers ||
           (LastClaimRequest && now() < *LastClaimRequest + IdleTimeout);
  }

  void startFollowing() {
    if (Following || !mustFollowLog())
      return;
    Following = true;
    NextOffset = 1;
    spdlog::info("this node reads the claims of the key window");
    readLog();
  }

  void readLog() {
    if (!mustFollowLog()) {
      Following = false;
      Batcher.reset();
      spdlog::info("this node stops following the claims of the key window");
      return;
    }
    // Does not long-poll before it has caught up, so that an empty answer shows
    // at once that the end of the log is reached.
    const Common::Micros Wait =
        Batcher.isReady() ? ReadWait : Common::Micros(0);
    Log->read(Settings.ClaimStream, NextOffset, Wait,
              [this](const OwnLog::ReadResult &Result) {
                tick();
                onLogRead(Result);
                armTimer();
              });
  }

  void onLogRead(const OwnLog::ReadResult &Result) {
    if (Result.Code == Common::ResultCode::LogOffsetExpired) {
      Batcher.reset();
      NextOffset = Result.FirstOffset;
      retryReadLater();
      return;
    }
    if (Result.Code != Common::ResultCode::Ok) {
      spdlog::warn("reading the log of claims failed: {} {}",
                   Common::resultCodeName(Result.Code), Result.Detail);
      retryReadLater();
      return;
    }
    for (const OwnLog::LogRecord &Record : Result.Records)
      handleRecord(Record);
    if (NextOffset >= Result.NextOffset && !Batcher.isReady()) {
      spdlog::info("caught up with the log of claims: knows {} claims",
                   Batcher.indexedClaims());
      Batcher.markReady();
    }
    readLog();
  }

  void handleRecord(const OwnLog::LogRecord &Record) {
    NextOffset = Record.RecordOffset + 1;
    Once::Batch Content;
    try {
      Content = Wire::decodeClaimBatch(Record.Content);
    } catch (const Common::Error &Failure) {
      // Every reader skips a malformed record in the same way.
      spdlog::warn("claims record {} is malformed: {}", Record.RecordOffset,
                   Failure.what());
      return;
    }
    act(Batcher.onRecordRead(Record.AppendedAt, Content, now()));
  }

  void retryReadLater() {
    // Jitter keeps batchers from retrying at the same time.
    std::uniform_int_distribution<int> Delay(50, 150);
    Clock.after(Common::Millis(Delay(Random)), [this] { readLog(); });
  }

  void tick() {
    act(Client.tick(now()));
    act(Batcher.tick(now()));
  }

  void armTimer() {
    std::optional<Common::SteadyTime> Next = Client.nextDue();
    if (const auto BatcherDue = Batcher.nextDue())
      Next = Next ? std::min(*Next, *BatcherDue) : *BatcherDue;
    if (!Next || (Timer && ArmedFor <= *Next))
      return;
    if (Timer)
      Clock.cancel(*Timer);
    ArmedFor = *Next;
    Timer = Clock.after(*Next - now(), [this] {
      Timer.reset();
      tick();
      armTimer();
    });
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  NodeSettings Settings;
  Sinks Targets;
  std::mt19937_64 Random;
  std::string Name;
  Once::ClaimClient Client;
  Once::ClaimBatcher<> Batcher;
  std::unique_ptr<Http::Client> Transport;
  std::unique_ptr<OwnLog::LogClient> Log;
  // The live nodes of this data centre by rank, and the addresses of their
  // control sockets.
  std::vector<std::string> RankedNodes;
  std::map<std::string, Routing::NodeAddress> Addresses;
  bool Following = false;
  std::optional<Common::SteadyTime> LastClaimRequest;
  OwnLog::Offset NextOffset = 1;
  std::optional<Kernel::TimerId> Timer;
  Common::SteadyTime ArmedFor;
};

} // namespace Node
