#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <spdlog/spdlog.h>

#include "Admission/LaneOrder.h"
#include "Admission/PauseWatch.h"
#include "Admission/SlotQueue.h"
#include "Http/KeptClient.h"
#include "Kernel/Host.h"
#include "Node/CallResponse.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/FrameSocket.h"

namespace Node {

// The far side of calls: admits them to the slots of the backend server beside
// this node and passes them on over HTTP.
template <Kernel::MessageSink<PeersMessage> Peers,
          Admission::WaitingOrder Order = Admission::LaneOrder,
          CallCodec Codec = OwnCallCodec>
class BackendService {
public:
  using Message = BackendMessage;

  BackendService(Kernel::Context Around, const NodeSettings &Settings,
                 std::function<Peers()> FindPeers, Codec Translation = Codec())
      : Home(Around.Home), Settings(Settings), FindPeers(std::move(FindPeers)),
        Translation(std::move(Translation)) {}

  void start() {
    ToPeers = FindPeers();
    Http::AnswerLimits Answers;
    Answers.BodyBytes = Wire::MaxFrameBytes - FrameOverhead;
    Transport = std::make_unique<Http::KeptClient>(Home, Answers);
    watchPauses();
  }

  void handle(Message Content) {
    std::visit([this](auto &Part) { this->take(Part); }, Content);
    armExpiry();
    shareLoad();
  }

  // Runs what was admitted to its end; new calls are refused as not run.
  void drain(std::function<void()> Done) {
    Queue.close();
    OnDrained = std::move(Done);
    finishDrain();
  }

  void stop() { Transport.reset(); }

private:
  struct OpenCall {
    OriginId Origin = LocalOrigin;
    Routing::CallRequest Request;
    Common::SteadyTime Arrived;
    Common::SteadyTime Started;
    Common::SteadyTime Deadline;
    std::optional<Http::TransferId> Transfer;
  };
  // Time beyond the deadline in which the server may still say itself that it
  // has passed.
  static constexpr Common::Millis ServerSlack{30};
  // Bytes of a frame that an answer's fields and the load beside it may take.
  static constexpr std::size_t FrameOverhead = 1 << 20;
  // Calls over which the share of failed ones is smoothed.
  static constexpr double FailureMemory = 12;

  using AttemptKey = std::pair<OriginId, Routing::AttemptId>;

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }
  static std::int64_t micros(Common::Duration Length) {
    return std::chrono::duration_cast<Common::Micros>(Length).count();
  }

  void take(RequestArrived &Part) {
    const Admission::TicketId Id = NextTicket++;
    OpenCall Call;
    Call.Origin = Part.Origin;
    Call.Request = std::move(Part.Request);
    Call.Arrived = now();
    // The time left is counted from when the request left the near node.
    Call.Deadline =
        Call.Arrived + Call.Request.Remaining - Pauses.pause(Call.Arrived);
    Tickets.emplace(AttemptKey(Call.Origin, Call.Request.Attempt), Id);
    const OpenCall &Opened = Calls.emplace(Id, std::move(Call)).first->second;
    if (Opened.Request.Service != Server.Service) {
      refuse(Id, Common::ResultCode::ServiceUnknown);
      return;
    }
    act(Queue.offer({.Id = Id,
                     .LongLane = Opened.Request.LongLane,
                     .Deadline = Opened.Deadline,
                     .Caller = Opened.Request.Caller,
                     .Kind = Opened.Request.Kind,
                     .Arrived = Opened.Arrived,
                     .Priority = Opened.Request.Priority,
                     .Target = Opened.Arrived + Opened.Request.TargetTimeLeft,
                     .TargetLength = Opened.Request.TargetLatency,
                     .WaitLimit = Opened.Request.WaitLimit},
                    now()));
  }

  void take(CancelArrived &Part) {
    cancel(AttemptKey(Part.Origin, Part.Attempt));
  }

  void take(OriginLost &Part) {
    std::vector<AttemptKey> Lost;
    for (auto Each = Tickets.lower_bound(AttemptKey(Part.Origin, INT64_MIN));
         Each != Tickets.end() && Each->first.first == Part.Origin; ++Each)
      Lost.push_back(Each->first);
    for (const AttemptKey &Each : Lost)
      cancel(Each);
  }

  void take(ServerAnnounced &Part) {
    Server = Part.Server;
    Transport->useServer(Part.Address);
    act(Queue.setSlots(Server.Leaving ? 0 : Server.Slots, now()));
  }

  void take(ServerLeft &Part) {
    if (Part.Server != Server.Server)
      return;
    Server = {};
    act(Queue.setSlots(0, now()));
  }

  void cancel(const AttemptKey &Key) {
    const auto Found = Tickets.find(Key);
    if (Found == Tickets.end())
      return;
    const Admission::TicketId Id = Found->second;
    const OpenCall &Call = Calls.at(Id);
    const bool Waited = Queue.withdraw(Id);
    if (!Waited && !Call.Request.Idempotent)
      return; // Cutting it off would leave its effect in doubt, and the
              // server may work on: its slot is busy until the deadline.
    if (Call.Transfer)
      Transport->cancel(*Call.Transfer);
    forget(Id);
    if (!Waited)
      act(Queue.finished(Id, now(), Admission::Ending::CutOff));
    finishDrain();
  }

  void act(const Admission::AdmissionActions &Actions) {
    for (const Admission::AdmissionAction &Each : Actions) {
      if (const auto *Run = std::get_if<Admission::RunCall>(&Each))
        run(Run->Id);
      else if (const auto *Refuse = std::get_if<Admission::RefuseCall>(&Each))
        refuse(Refuse->Id, Refuse->Code, Refuse->Reckoned);
    }
    finishDrain();
  }

  void run(Admission::TicketId Id) {
    OpenCall &Call = Calls.at(Id);
    Call.Started = now();
    const auto Left = std::chrono::duration_cast<Common::Micros>(Call.Deadline -
                                                                 Call.Started);
    Http::KeptRequest Asked =
        Translation.toServerRequest(Call.Request, {Server.Server, Left});
    Asked.Limit = Left + ServerSlack;
    Call.Transfer = Transport->send(
        std::move(Asked),
        [this, Id](Http::ClientResult Result) { finish(Id, Result); });
  }

  void finish(Admission::TicketId Id, Http::ClientResult &Result) {
    const OpenCall &Call = Calls.at(Id);
    Routing::CallReply Reply;
    Reply.HttpStatus = Result.Reply.Status;
    if (!Result.Answered) {
      spdlog::warn("event=no-answer id={} server={} may-have-run={} "
                   "reason=\"{}\"",
                   Call.Request.CorrelationId, Server.Server, Result.MayHaveRun,
                   Result.Failure);
      Reply.Result = Result.MayHaveRun ? Common::ResultCode::OutcomeUnknown
                                       : Common::ResultCode::PeerUnreachable;
    } else if (Translation.isNotRun(Result.Reply)) {
      Reply.Result = Common::ResultCode::ServerShed;
    } else {
      Reply.Body = std::move(Result.Reply.Body);
      Reply.Fields = std::move(Result.Reply.Fields);
    }
    Reply.QueueTime =
        std::chrono::duration_cast<Common::Micros>(Call.Started - Call.Arrived);
    Reply.ServiceTime =
        std::chrono::duration_cast<Common::Micros>(now() - Call.Started);
    const bool Failed = Reply.Result != Common::ResultCode::Ok ||
                        Reply.HttpStatus >= Routing::MinServerErrorStatus;
    FailureShare += ((Failed ? 1.0 : 0.0) - FailureShare) / FailureMemory;
    // The next call takes the slot before the answer is written out.
    act(Queue.finished(Id, now(), endingOf(Reply.Result)));
    reply(Id, std::move(Reply));
    shareLoad();
    finishDrain();
  }

  Routing::ServerLoad load() const {
    constexpr int Hundred = 100;
    Routing::ServerLoad Result = Queue.load();
    Result.FailurePercent = static_cast<int>(FailureShare * Hundred);
    return Result;
  }

  void shareLoad() {
    if (!Server.Server.empty())
      ToPeers.post(ShareLoad{Server.Server, load()});
  }

  static Admission::Ending endingOf(Common::ResultCode Result) {
    if (Result == Common::ResultCode::Ok)
      return Admission::Ending::Answered;
    return Common::isNotRun(Result) ? Admission::Ending::NotRun
                                    : Admission::Ending::CutOff;
  }

  void refuse(Admission::TicketId Id, Common::ResultCode Code,
              const std::optional<Admission::WaitEstimate> &Reckoned = {}) {
    const OpenCall &Call = Calls.at(Id);
    const Routing::ServerLoad Seen = Queue.load();
    const Admission::WaitEstimate Expected =
        Reckoned.value_or(Admission::WaitEstimate());
    spdlog::info(
        "event=attempt-refused id={} kind={} server={} code={} {} "
        "busy={}/{} waiting={} slot-time-us={} left-us={} target-us={} "
        "waited-us={} expected-wait-us={} ahead={} of-slots={:.1f} usual-us={}",
        Call.Request.CorrelationId, Call.Request.Kind, Server.Server,
        Common::resultCodeNumber(Code), Common::resultCodeName(Code),
        Seen.BusySlots, Seen.Slots, Seen.Queued, Seen.SlotTime.count(),
        micros(Call.Deadline - now()), Call.Request.TargetLatency.count(),
        micros(now() - Call.Arrived), Expected.Wait.count(), Expected.Ahead,
        Expected.Slots, Expected.UsualTime.count());
    Routing::CallReply Reply;
    Reply.Result = Code;
    reply(Id, std::move(Reply));
  }

  void reply(Admission::TicketId Id, Routing::CallReply Reply) {
    const OpenCall &Call = Calls.at(Id);
    Reply.Attempt = Call.Request.Attempt;
    Reply.Load = load();
    Reply.Server = Server.Server;
    ToPeers.post(SendReply{Call.Origin, std::move(Reply)});
    forget(Id);
  }

  void forget(Admission::TicketId Id) {
    const auto Node = Calls.extract(Id);
    Tickets.erase(
        AttemptKey(Node.mapped().Origin, Node.mapped().Request.Attempt));
  }

  // Waiting calls are refused at their deadline even when nothing else moves.
  void armExpiry() {
    if (Timer || Queue.load().Queued == 0)
      return;
    Timer = Clock.after(Common::Millis(10), [this] {
      Timer.reset();
      act(Queue.expire(now()));
      armExpiry();
    });
  }

  void watchPauses() {
    Pauses.tick(now());
    Clock.after(Admission::PauseWatch::Interval, [this] { watchPauses(); });
  }

  void finishDrain() {
    if (OnDrained && Queue.isIdle())
      // The answers still have to leave through the sockets.
      Clock.after(Common::Millis(200), std::exchange(OnDrained, nullptr));
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  std::function<Peers()> FindPeers;
  Codec Translation;
  Peers ToPeers;
  std::unique_ptr<Http::KeptClient> Transport;
  Admission::SlotQueue<Order> Queue;
  Admission::PauseWatch Pauses;
  Membership::Endpoint Server;
  // Smoothed share of calls that the server failed.
  double FailureShare = 0;
  std::unordered_map<Admission::TicketId, OpenCall> Calls;
  std::map<AttemptKey, Admission::TicketId> Tickets;
  Admission::TicketId NextTicket = 1;
  std::optional<Kernel::TimerId> Timer;
  std::function<void()> OnDrained;
};

} // namespace Node
