#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <spdlog/spdlog.h>

#include "Admission/LaneOrder.h"
#include "Admission/PauseDetector.h"
#include "Admission/SlotQueue.h"
#include "Config/ObjectSet.h"
#include "Http/KeepAliveClient.h"
#include "Kernel/Host.h"
#include "Node/CallResponse.h"
#include "Node/MemoryShares.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/FrameSocket.h"

namespace Node {

// The server side of calls: admits them to the slots of the local backend
// server and forwards them to it over HTTP.
template <Kernel::MessageSink<PeersMessage> Peers,
          Admission::WaitingOrder Order = Admission::LaneOrder,
          CallCodec Codec = NativeCallCodec,
          Kernel::MessageSink<ServerWatched> Rollouts =
              Kernel::Address<RolloutMessage>>
class BackendService {
public:
  using Message = BackendMessage;

  BackendService(Kernel::Context Context, const NodeSettings &Settings,
                 std::function<Peers()> FindPeers, Codec HttpCodec = Codec(),
                 Rollouts ToRollouts = {})
      : Task(Context.ServiceTask), Settings(Settings),
        FindPeers(std::move(FindPeers)), HttpCodec(std::move(HttpCodec)),
        ToRollouts(std::move(ToRollouts)) {}

  void start() {
    ToPeers = FindPeers();
    Http::ResponseLimits Answers;
    Answers.BodyBytes = Wire::MaxFrameBodyBytes;
    Transport = std::make_unique<Http::KeepAliveClient>(Task, Answers);
    watchPauses();
  }

  void handle(Message Content) {
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
    armExpiry();
    shareLoad();
  }

  // Refuses the calls that may outlast this node, also those that wait for a
  // slot: their callers can still send them to other servers.
  void prepareStop(Common::SteadyTime Deadline) {
    StopsAt = Deadline - ReplyTime;
    std::vector<Admission::QueuedCallId> MayOutlast;
    for (const auto &[Id, Call] : Calls)
      if (mayOutlastNode(Call) && Queue.withdraw(Id))
        MayOutlast.push_back(Id);
    for (const Admission::QueuedCallId Id : MayOutlast)
      refuse(Id, Common::ResultCode::Draining);
  }

  // Completes the admitted calls. Calls are still admitted for ServeOnLimit,
  // since some nodes have not yet noticed that this one leaves; later ones are
  // refused as not run. Calls that outlast the node, which began before it was
  // told to stop, do not delay the drains of the other services.
  void drain(std::function<void()> Done) {
    OnDrained = std::move(Done);
    if (StopsAt)
      Clock.after(std::max<Common::Duration>(*StopsAt - now(),
                                             Common::Duration::zero()),
                  [this] { finishDrain(); });
    if (Settings.ServeOnLimit.count() == 0)
      refuseNewCalls();
    else
      Clock.after(Settings.ServeOnLimit, [this] { refuseNewCalls(); });
  }

  void stop() {
    for (const auto &[Id, Call] : Calls)
      spdlog::warn("event=attempt-cut id={} server={} running={} age-us={} "
                   "remaining-us={} reason=\"the node stops\"",
                   Call.Request.CorrelationId, Server.Server,
                   Call.Transfer.has_value(), micros(now() - Call.Arrived),
                   micros(Call.Deadline - now()));
    Transport.reset();
  }

private:
  struct OpenCall {
    OriginId Origin = LocalOrigin;
    Routing::CallRequest Request;
    Common::SteadyTime Arrived;
    Common::SteadyTime Started;
    // The earliest and the latest time at which the deadline may be. They
    // differ if the request may have been received during a pause. The server
    // must not work beyond the first; the call is not given up before the
    // second.
    Common::SteadyTime Deadline;
    Common::SteadyTime LatestDeadline;
    std::optional<Http::TransferId> Transfer;
    // Counted towards HeldBytes. That of a local caller's request is counted
    // where it arrived.
    std::size_t Bytes = 0;
  };
  // How long after the deadline the server may still answer. The caller-side
  // node waits for an answer until shortly after the deadline, and cancels the
  // call then; its cancellation arrives before this time is over.
  static constexpr Common::Millis ServerSlack = 2 * Config::DefaultAnswerSlack;
  // Leaves time to send the last replies before the node stops, and to answer
  // the calls that the server makes while it runs the last ones.
  static constexpr Common::Millis ReplyTime{400};
  // Interval of reports about a watched server.
  static constexpr Common::Millis WatchInterval{250};
  // Number of calls over which the share of failed calls is smoothed.
  static constexpr double FailureWindow = 12;
  // The HTTP status with which a server reports that the deadline has passed.
  static constexpr int DeadlineStatus = 504;

  using AttemptKey = std::pair<OriginId, Routing::AttemptId>;

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }
  static std::int64_t micros(Common::Duration Length) {
    return std::chrono::duration_cast<Common::Micros>(Length).count();
  }

  // The request and its copy on the way to the server.
  static std::size_t memoryOf(const Routing::CallRequest &Request) {
    constexpr std::size_t Copies = 2;
    constexpr std::size_t FieldBytes = 128;
    std::size_t Bytes = Request.Target.size() + Request.Body.size();
    for (const auto &[Name, Value] : Request.Fields)
      Bytes += FieldBytes + Name.size() + Value.size();
    return Copies * Bytes;
  }

  void onMessage(RequestArrived &Event) {
    const Admission::QueuedCallId Id = NextId++;
    OpenCall Call;
    Call.Origin = Event.Origin;
    Call.Request = std::move(Event.Request);
    Call.Arrived = now();
    if (Call.Origin != LocalOrigin)
      Call.Bytes = memoryOf(Call.Request);
    HeldBytes += Call.Bytes;
    // The remaining time counts from when the request left the caller-side
    // node, which may have been at any time of a pause of this process.
    Call.LatestDeadline = Call.Arrived + Call.Request.Remaining;
    Call.Deadline = Call.LatestDeadline - Pauses.pause(Call.Arrived);
    CallIds.emplace(AttemptKey(Call.Origin, Call.Request.Attempt), Id);
    const OpenCall &Opened = Calls.emplace(Id, std::move(Call)).first->second;
    if (Opened.Request.Service != Server.Service) {
      refuse(Id, Common::ResultCode::ServiceUnknown);
      return;
    }
    if (Watch.isClosed() || mayOutlastNode(Opened)) {
      refuse(Id, Common::ResultCode::Draining);
      return;
    }
    // A single request is taken whatever its size, since a frame limits it.
    if (HeldBytes > percentOf(Settings.MemoryLimit, ServerPercent) &&
        HeldBytes > Opened.Bytes) {
      refuse(Id, Common::ResultCode::QueueFull);
      return;
    }
    act(Queue.offer(
        {.Id = Id,
         .LongLane = Opened.Request.LongLane,
         .Deadline = Opened.Deadline,
         .Caller = Opened.Request.Caller,
         .Kind = Opened.Request.Kind,
         .Arrived = Opened.Arrived,
         .Priority = Opened.Request.Priority,
         .TargetTime = Opened.Arrived + Opened.Request.TargetTimeLeft,
         .TargetLatency = Opened.Request.TargetLatency,
         .WaitLimit = Opened.Request.WaitLimit,
         .ExpectedCost = Opened.Request.ExpectedCost},
        now()));
  }

  bool mayOutlastNode(const OpenCall &Call) const {
    return StopsAt && Call.LatestDeadline > *StopsAt;
  }

  void onMessage(CancelArrived &Event) {
    cancel(AttemptKey(Event.Origin, Event.Attempt));
  }

  void onMessage(OriginLost &Event) {
    std::vector<AttemptKey> LostCalls;
    for (auto Next = CallIds.lower_bound(AttemptKey(Event.Origin, INT64_MIN));
         Next != CallIds.end() && Next->first.first == Event.Origin; ++Next)
      LostCalls.push_back(Next->first);
    for (const AttemptKey &Key : LostCalls)
      cancel(Key);
  }

  void onMessage(ServerAnnounced &Event) {
    // The waiting calls were accepted for the previous server's service, which
    // no server runs at this address any more.
    if (Event.Server.Service != Server.Service)
      act(Queue.setSlots(0, now()));
    Server = Event.Server;
    Watch.setWarmAt(now() + Event.ColdLeft);
    Transport->useServer(Event.Address);
    act(Queue.setSlots(Server.Leaving ? 0 : Server.Slots, now()));
  }

  void onMessage(ServerLeft &Event) {
    if (Event.Server != Server.Server)
      return;
    Server = {};
    act(Queue.setSlots(0, now()));
  }

  void onMessage(WatchServer &Event) {
    Watch.follow(Event.Ordered);
    if (!IsReportDue)
      reportWatched();
  }

  void reportWatched() {
    IsReportDue = Watch.isWatching();
    if (!IsReportDue)
      return;
    ToRollouts.post(
        ServerWatched{Watch.order(), Watch.evidence(), Calls.size()});
    Clock.after(WatchInterval, [this] { reportWatched(); });
  }

  void refuseNewCalls() {
    spdlog::info("event=refusing-attempts open-attempts={}", Calls.size());
    IsClosed = true;
    Queue.close();
    finishDrainIfIdle();
  }

  void cancel(const AttemptKey &Key) {
    const auto Found = CallIds.find(Key);
    if (Found == CallIds.end())
      return;
    const Admission::QueuedCallId Id = Found->second;
    const OpenCall &Call = Calls.at(Id);
    const bool WasQueued = Queue.withdraw(Id);
    if (!WasQueued && !Call.Request.Idempotent)
      return; // Cancelling it would leave its outcome unknown, and the server
              // may continue to run it, so its slot stays busy until the
              // deadline.
    if (Call.Transfer) {
      Transport->cancel(*Call.Transfer);
      if (now() >= Call.LatestDeadline)
        noteUnanswered(Call);
    }
    forget(Id);
    if (!WasQueued)
      act(Queue.onFinished(Id, now(), Admission::CallOutcome::Aborted));
    finishDrainIfIdle();
  }

  void act(const Admission::AdmissionActions &Actions) {
    for (const Admission::AdmissionAction &Action : Actions) {
      if (const auto *Run = std::get_if<Admission::RunCall>(&Action))
        dispatch(Run->Id);
      else if (const auto *Refuse = std::get_if<Admission::RefuseCall>(&Action))
        refuse(Refuse->Id, Refuse->Code, Refuse->Estimate);
    }
    finishDrainIfIdle();
  }

  void dispatch(Admission::QueuedCallId Id) {
    OpenCall &Call = Calls.at(Id);
    Call.Started = now();
    const auto Remaining = std::chrono::duration_cast<Common::Micros>(
        Call.Deadline - Call.Started);
    Http::KeepAliveRequest ServerRequest =
        HttpCodec.toServerRequest(Call.Request, {Server.Server, Remaining});
    ServerRequest.Timeout = std::chrono::duration_cast<Common::Micros>(
        Call.LatestDeadline - Call.Started + ServerSlack);
    Call.Transfer = Transport->send(
        std::move(ServerRequest),
        [this, Id](Http::ClientResult Result) { onServerReply(Id, Result); });
  }

  void onServerReply(Admission::QueuedCallId Id, Http::ClientResult &Result) {
    const OpenCall &Call = Calls.at(Id);
    if (Result.Answered)
      noteSlowness(Result.Reply);
    Routing::CallReply Reply;
    Reply.HttpStatus = Result.Reply.Status;
    if (!Result.Answered) {
      spdlog::warn("event=no-answer id={} server={} may-have-run={} "
                   "reason=\"{}\"",
                   Call.Request.CorrelationId, Server.Server, Result.MayHaveRun,
                   Result.Failure);
      Reply.Result = Result.MayHaveRun ? Common::ResultCode::OutcomeUnknown
                                       : Common::ResultCode::PeerUnreachable;
    } else if (HttpCodec.isNotRun(Result.Reply)) {
      Reply.Result = Common::ResultCode::ServerShed;
    } else {
      Reply.Body = std::move(Result.Reply.Body);
      Reply.Fields = std::move(Result.Reply.Fields);
    }
    Reply.QueueTime =
        std::chrono::duration_cast<Common::Micros>(Call.Started - Call.Arrived);
    Reply.ServiceTime =
        std::chrono::duration_cast<Common::Micros>(now() - Call.Started);
    noteOutcome(Call, Reply);
    // Hands the slot to the next call before the reply is written out.
    act(Queue.onFinished(Id, now(), endingOf(Reply.Result)));
    reply(Id, std::move(Reply));
    shareLoad();
    finishDrainIfIdle();
  }

  void noteOutcome(const OpenCall &Call, const Routing::CallReply &Reply) {
    const bool Failed = Reply.Result != Common::ResultCode::Ok ||
                        Reply.HttpStatus >= Routing::MinServerErrorStatus;
    if (!Common::isNotRun(Reply.Result))
      Watch.callEnded(Call.Request.Kind, watchedOutcome(Reply),
                      Reply.ServiceTime, now());
    FailureShare += ((Failed ? 1.0 : 0.0) - FailureShare) / FailureWindow;
  }

  void noteUnanswered(const OpenCall &Call) {
    Routing::CallReply Missing;
    Missing.Result = Common::ResultCode::OutcomeUnknown;
    Missing.ServiceTime =
        std::chrono::duration_cast<Common::Micros>(now() - Call.Started);
    noteOutcome(Call, Missing);
  }

  // Some backend servers state how long work takes on their machine.
  void noteSlowness(const Http::Response &Reply) {
    if constexpr (requires { HttpCodec.statedSlowness(Reply); })
      if (const auto Percent = HttpCodec.statedSlowness(Reply);
          Percent && Queue.speed())
        Queue.speed()->onStated(*Percent, now());
  }

  Routing::ServerLoad load() {
    constexpr int Hundred = 100;
    Routing::ServerLoad Result = Queue.load();
    Result.FailurePercent = static_cast<int>(FailureShare * Hundred);
    Result.Backlog = Queue.backlog(now());
    if (Queue.speed() && Queue.speed()->isKnown())
      Result.SlownessPercent =
          static_cast<int>(Queue.speed()->current(now()) * Hundred);
    return Result;
  }

  void shareLoad() {
    if (!Server.Server.empty())
      ToPeers.post(ShareLoad{Server.Server, load()});
  }

  static Admission::CallOutcome endingOf(Common::ResultCode Result) {
    if (Result == Common::ResultCode::Ok)
      return Admission::CallOutcome::Answered;
    return Common::isNotRun(Result) ? Admission::CallOutcome::NotRun
                                    : Admission::CallOutcome::Aborted;
  }

  static Rollout::Outcome watchedOutcome(const Routing::CallReply &Reply) {
    if (Reply.Result != Common::ResultCode::Ok ||
        Reply.HttpStatus == DeadlineStatus)
      return Rollout::Outcome::Unanswered;
    return Reply.HttpStatus >= Routing::MinServerErrorStatus
               ? Rollout::Outcome::Failed
               : Rollout::Outcome::Answered;
  }

  void refuse(Admission::QueuedCallId Id, Common::ResultCode Code,
              const std::optional<Admission::WaitEstimate> &Estimate = {}) {
    const OpenCall &Call = Calls.at(Id);
    const Routing::ServerLoad Load = Queue.load();
    const Admission::WaitEstimate Expected =
        Estimate.value_or(Admission::WaitEstimate());
    spdlog::info(
        "event=attempt-refused id={} kind={} server={} code={} {} "
        "busy={}/{} waiting={} slot-time-us={} remaining-us={} target-us={} "
        "waited-us={} expected-wait-us={} ahead={} expected-slots={:.1f} "
        "typical-slot-time-us={} expected-cost-us={} backlog-us={}",
        Call.Request.CorrelationId, Call.Request.Kind, Server.Server,
        Common::resultCodeNumber(Code), Common::resultCodeName(Code),
        Load.BusySlots, Load.Slots, Load.Queued, Load.SlotTime.count(),
        micros(Call.Deadline - now()), Call.Request.TargetLatency.count(),
        micros(now() - Call.Arrived), Expected.Wait.count(), Expected.Ahead,
        Expected.Slots, Expected.ExpectedServiceTime.count(),
        Call.Request.ExpectedCost.count(), Queue.backlog(now()).count());
    Routing::CallReply Reply;
    Reply.Result = Code;
    reply(Id, std::move(Reply));
  }

  void reply(Admission::QueuedCallId Id, Routing::CallReply Reply) {
    const OpenCall &Call = Calls.at(Id);
    Reply.Attempt = Call.Request.Attempt;
    Reply.Load = load();
    Reply.Server = Server.Server;
    ToPeers.post(
        SendReply{Call.Origin, std::move(Reply), Call.Request.CorrelationId});
    forget(Id);
  }

  void forget(Admission::QueuedCallId Id) {
    const auto Removed = Calls.extract(Id);
    HeldBytes -= Removed.mapped().Bytes;
    CallIds.erase(
        AttemptKey(Removed.mapped().Origin, Removed.mapped().Request.Attempt));
  }

  // Refuses queued calls at their deadline even when no other event occurs.
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
    Clock.after(Admission::PauseDetector::Interval, [this] { watchPauses(); });
  }

  void finishDrainIfIdle() {
    if (IsClosed && Queue.isIdle())
      finishDrain();
  }

  void finishDrain() {
    if (OnDrained)
      std::exchange(OnDrained, nullptr)();
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  NodeSettings Settings;
  std::function<Peers()> FindPeers;
  Codec HttpCodec;
  Peers ToPeers;
  std::unique_ptr<Http::KeepAliveClient> Transport;
  Admission::SlotQueue<Order> Queue;
  Admission::PauseDetector Pauses;
  Membership::Endpoint Server;
  Rollouts ToRollouts;
  Rollout::ServerWatch Watch;
  // Whether a timer for the next report about the watched server runs.
  bool IsReportDue = false;
  // Smoothed share of calls that failed at the server.
  double FailureShare = 0;
  std::unordered_map<Admission::QueuedCallId, OpenCall> Calls;
  // The memory of the requests of other nodes' callers.
  std::size_t HeldBytes = 0;
  std::map<AttemptKey, Admission::QueuedCallId> CallIds;
  Admission::QueuedCallId NextId = 1;
  std::optional<Kernel::TimerId> Timer;
  // Set when the node begins to stop.
  std::optional<Common::SteadyTime> StopsAt;
  // Whether every new call is refused.
  bool IsClosed = false;
  std::function<void()> OnDrained;
};

} // namespace Node
