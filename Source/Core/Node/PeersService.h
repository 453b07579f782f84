#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Kernel/Host.h"
#include "Membership/Backoff.h"
#include "Membership/DataCentreReachability.h"
#include "Membership/EchoMonitor.h"
#include "Membership/LoadReportScheduler.h"
#include "Node/MemoryShares.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/Codec.h"
#include "Wire/FrameSocket.h"

namespace Node {

// Owns the connections to other nodes: for each node one connection in either
// direction. A connection whose echoes time out is replaced by a new one. The
// old one is kept for the replies to calls that must not be repeated.
template <Kernel::MessageSink<IngressMessage> Ingress,
          Kernel::MessageSink<BackendMessage> Backend>
class PeersService {
public:
  using Message = PeersMessage;

  struct Sinks {
    Ingress ToIngress;
    Backend ToBackend;
  };

  PeersService(Kernel::Context Context, const NodeSettings &Settings,
               std::function<Sinks()> FindSinks)
      : Task(Context.ServiceTask), Settings(Settings),
        FindSinks(std::move(FindSinks)) {}

  void start() {
    Targets = FindSinks();
    OwnAddress = Settings.Address + ":" + std::to_string(Settings.PeerPort);
    Listener = std::make_unique<Wire::FrameListener>(
        Task, Settings.Address, Settings.PeerPort,
        [this](const auto &Adopt) { accept(Adopt); });
    tick();
  }

  void handle(Message Content) {
    std::visit([this](auto &Command) { this->onMessage(Command); }, Content);
  }

  // Passes on the requests that have arrived, so that they are refused, sends
  // the replies that are left and ends the connections of the other nodes in
  // order. Closing a socket with unread bytes resets the connection, which can
  // discard a reply on its way.
  void drain(std::function<void()> Done) {
    OnDrained = std::move(Done);
    DrainBegan = LastWaited = now();
    Listener->acceptWaiting();
    Listener.reset();
    for (auto &[Origin, Connection] : Inbound) {
      for (const WaitingReply &Left : Connection.Waiting)
        Connection.Socket->send(Left.Encoded);
      Connection.Waiting.clear();
      Connection.WaitingBytes = 0;
      closeIfAnswered(Connection);
    }
    finishDrainIfSent();
  }

  void stop() {
    for (const auto &[Address, Connection] : Outbound)
      if (!Connection.PendingAttempts.empty())
        spdlog::warn("dependency=node state=closed address={} "
                     "pending-attempts={} reason=\"this node stops\"",
                     Address, Connection.PendingAttempts.size());
    for (const auto &[Origin, Connection] : Inbound)
      if (Connection.Socket->unsentBytes() > 0)
        spdlog::warn("event=replies-cut origin={} unsent-bytes={} "
                     "reason=\"this node stops\"",
                     Origin, Connection.Socket->unsentBytes());
    Listener.reset();
    Outbound.clear();
    Retired.clear();
    Inbound.clear();
  }

private:
  static constexpr Common::Millis TickInterval{100};
  // How long a drain waits for other nodes that have received all replies to
  // close their connections.
  static constexpr Common::Millis CloseLimit{200};
  static constexpr int MaxMissedIdleEchoes = 3;

  // Replies up to this size do not give way to those that a peer has not taken.
  static constexpr std::size_t SmallReplyBytes = 64 << 10;
  // A peer that takes none of its unsent bytes for so long has stalled.
  static constexpr Common::Millis StallLimit{100};
  static constexpr Common::Millis ReplyCheckInterval{10};
  // Bounds the sockets that a node which stays silent takes up.
  static constexpr std::ptrdiff_t MaxRetiredPerNode = 4;

  using ConnectionId = std::uint64_t;

  struct PendingAttempt {
    bool MayBeRepeated = false;
    // The position of its frame among the bytes queued on the connection.
    std::uint64_t FrameStart = 0;
  };
  struct OutboundConnection {
    ConnectionId Id = 0;
    std::unique_ptr<Wire::FrameSocket> Socket;
    Membership::EchoMonitor Monitor;
    std::map<Routing::AttemptId, PendingAttempt> PendingAttempts;
    bool WasConnected = false;
    // When the attempt to connect is given up; empty if only its own timeout
    // ends it.
    std::optional<Common::SteadyTime> ConnectBy;
    // Empty if it is that of this node, or unknown.
    std::string DataCentre;
  };
  // A connection that was replaced while calls may have been pending on it.
  struct RetiredConnection {
    Routing::NodeAddress Address;
    OutboundConnection Connection;
  };
  struct WaitingReply {
    std::string Encoded;
    // The same reply without its content.
    std::string Short;
  };
  struct InboundConnection {
    std::unique_ptr<Wire::FrameSocket> Socket;
    Common::SteadyTime LastReceived;
    // Empty if it is that of this node, or unknown.
    std::string DataCentre;
    Membership::LoadReportScheduler Sharing{false};
    // The requests passed on whose replies the other node waits for, and when
    // they were passed on.
    std::map<Routing::AttemptId, Common::SteadyTime> Unanswered{};
    // Large replies beyond the share of the peer.
    std::deque<WaitingReply> Waiting{};
    std::size_t WaitingBytes = 0;
    // What the kernel has taken, and when it last took something.
    std::uint64_t TakenBytes = 0;
    Common::SteadyTime LastTook = now();
  };

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  using Adopter = std::function<std::unique_ptr<Wire::FrameSocket>(
      Wire::FrameSocket::Events)>;

  void onMessage(SendRequest &Command) {
    // A call to the local backend server needs no connection.
    if (Command.Address == OwnAddress) {
      Targets.ToBackend.post(
          RequestArrived{LocalOrigin, std::move(Command.Request)});
      return;
    }
    const auto Backoff = Backoffs.find(Command.Address);
    if ((Backoff != Backoffs.end() && !Backoff->second.mayTry(now())) ||
        Reachability.unreachable().contains(Command.DataCentre)) {
      refuse(Command.Request.Attempt);
      return;
    }
    // A frame over the limit would make the receiver end the connection, and
    // with it the requests of others.
    if (Command.Request.Body.size() > Wire::MaxFrameBodyBytes) {
      refuse(Command.Request.Attempt, Common::ResultCode::BodyTooLarge);
      return;
    }
    OutboundConnection &Connection =
        outbound(Command.Address, otherDataCentre(Command.DataCentre));
    const std::size_t Unsent = unsentBytes(Command.Address, Connection);
    if (Unsent > 0 && Unsent + Command.Request.Body.size() >
                          percentOf(Settings.MemoryLimit, PeerPercent)) {
      refuse(Command.Request.Attempt, Common::ResultCode::QueueFull);
      return;
    }
    Connection.PendingAttempts.emplace(
        Command.Request.Attempt,
        PendingAttempt{Command.MayBeRepeated,
                       Connection.Socket->queuedBytes()});
    if (Command.ConnectLimit && !Connection.WasConnected &&
        !Connection.ConnectBy)
      Connection.ConnectBy = now() + *Command.ConnectLimit;
    Connection.Socket->sendOwned(Wire::encodeFrame(Command.Request));
  }

  void onMessage(SendCancel &Command) {
    if (Command.Address == OwnAddress) {
      Targets.ToBackend.post(CancelArrived{LocalOrigin, Command.Attempt});
      return;
    }
    const auto Found = Outbound.find(Command.Address);
    if (Found != Outbound.end() && cancel(Found->second, Command.Attempt))
      return;
    for (auto &[Id, Old] : Retired)
      if (Old.Address == Command.Address &&
          cancel(Old.Connection, Command.Attempt))
        return;
    // The server-side node ended the call when the connection was lost.
  }

  // Whether the attempt was pending on the connection.
  static bool cancel(OutboundConnection &Connection,
                     Routing::AttemptId Attempt) {
    if (Connection.PendingAttempts.erase(Attempt) == 0)
      return false;
    Connection.Socket->send(Wire::encodeFrame(Wire::CancelCall{Attempt}));
    return true;
  }

  std::size_t unsentBytes(const Routing::NodeAddress &Address,
                          const OutboundConnection &Current) const {
    std::size_t Result = Current.Socket->unsentBytes();
    for (const auto &[Id, Old] : Retired)
      if (Old.Address == Address)
        Result += Old.Connection.Socket->unsentBytes();
    return Result;
  }

  void onMessage(SendReply &Command) {
    if (Command.Origin == LocalOrigin) {
      Targets.ToIngress.post(ReplyArrived{std::move(Command.Reply)});
      return;
    }
    // The reply is dropped when the connection of its origin is lost.
    const auto Found = Inbound.find(Command.Origin);
    if (Found == Inbound.end()) {
      spdlog::warn("event=reply-dropped id={} origin={} code={} {}",
                   Command.CorrelationId, Command.Origin,
                   Common::resultCodeNumber(Command.Reply.Result),
                   Common::resultCodeName(Command.Reply.Result));
      return;
    }
    Found->second.Sharing.onLoadSent(Command.Reply.Load, now());
    InboundConnection &To = Found->second;
    To.Unanswered.erase(Command.Reply.Attempt);
    const Routing::CallReply Short = withoutContent(Command.Reply);
    std::string Encoded = Wire::encodeFrame(std::move(Command.Reply));
    if (!makeRoom(Command.Origin, Encoded.size())) {
      replaceReply(Command.Origin, To, Encoded.size(),
                   Wire::encodeFrame(Short));
      return;
    }
    if (OnDrained || Encoded.size() <= SmallReplyBytes ||
        (To.Waiting.empty() && mayQueue(To, Encoded.size()))) {
      To.Socket->sendOwned(std::move(Encoded));
      if (OnDrained)
        closeIfAnswered(To);
      return;
    }
    To.WaitingBytes += Encoded.size();
    To.Waiting.push_back({std::move(Encoded), Wire::encodeFrame(Short)});
    sendWaiting(Command.Origin, To, isStalled(To));
    scheduleReplyCheck();
  }

  void replaceReply(OriginId Origin, InboundConnection &To, std::size_t Bytes,
                    const std::string &Short) {
    spdlog::warn("event=reply-replaced origin={} bytes={} "
                 "reason=\"the peer does not take its replies\"",
                 Origin, Bytes);
    To.Socket->send(Short);
  }

  bool mayQueue(const InboundConnection &To, std::size_t Bytes) const {
    const std::size_t Unsent = To.Socket->unsentBytes();
    return Unsent == 0 ||
           Unsent + Bytes <= percentOf(Settings.MemoryLimit, PeerReplyPercent);
  }

  // Hands over what the kernel takes, so that a peer that reads does not count
  // as one that does not.
  static void observeProgress(InboundConnection &Peer) {
    Peer.Socket->flush();
    const std::size_t Unsent = Peer.Socket->unsentBytes();
    const std::uint64_t Taken = Peer.Socket->queuedBytes() - Unsent;
    if (Unsent == 0 || Taken != Peer.TakenBytes)
      Peer.LastTook = now();
    Peer.TakenBytes = Taken;
  }

  static bool isStalled(const InboundConnection &Peer) {
    return now() - Peer.LastTook >= StallLimit;
  }

  // Sends the replies that waited for room, or their results alone if the peer
  // is given up.
  void sendWaiting(OriginId Origin, InboundConnection &To, bool GivenUp) {
    while (!To.Waiting.empty()) {
      WaitingReply &Next = To.Waiting.front();
      const std::size_t Bytes = Next.Encoded.size();
      if (mayQueue(To, Bytes))
        To.Socket->sendOwned(std::move(Next.Encoded));
      else if (GivenUp)
        replaceReply(Origin, To, Bytes, Next.Short);
      else
        return;
      To.WaitingBytes -= Bytes;
      To.Waiting.pop_front();
    }
  }

  void scheduleReplyCheck() {
    if (std::exchange(ReplyCheckScheduled, true))
      return;
    Clock.after(ReplyCheckInterval, [this] {
      ReplyCheckScheduled = false;
      checkReplies();
    });
  }

  void updateReplies() {
    for (auto &[Origin, Connection] : Inbound) {
      observeProgress(Connection);
      sendWaiting(Origin, Connection, isStalled(Connection));
    }
  }

  void checkReplies() {
    updateReplies();
    boundReplies(std::nullopt, 0);
    if (std::ranges::any_of(Inbound, [](const auto &Entry) {
          return !Entry.second.Waiting.empty();
        }))
      scheduleReplyCheck();
  }

  // Load pattern: a node stands still while the calls that it sent are
  // answered. Whether the reply may be kept.
  bool makeRoom(OriginId Origin, std::size_t Bytes) {
    std::size_t Total = Bytes;
    for (const auto &[Peer, Connection] : Inbound)
      Total += Connection.Socket->unsentBytes() + Connection.WaitingBytes;
    // Usual replies are left to the event loop, which sends several at once.
    if (Total <= percentOf(Settings.MemoryLimit, PeerReplyPercent))
      return true;
    updateReplies();
    return boundReplies(Origin, Bytes);
  }

  // Gives up the peers that have taken nothing for the longest time: first
  // their waiting replies, then their connections. False if that would be
  // Origin.
  bool boundReplies(std::optional<OriginId> Origin, std::size_t Bytes) {
    for (;;) {
      std::size_t Total = 0;
      std::optional<OriginId> Slowest;
      for (const auto &[Peer, Connection] : Inbound) {
        const std::size_t Kept =
            Connection.Socket->unsentBytes() + Connection.WaitingBytes;
        Total += Kept;
        if (Kept > 0 &&
            (!Slowest || Connection.LastTook < Inbound.at(*Slowest).LastTook))
          Slowest = Peer;
      }
      if (!Slowest)
        return true;
      const std::size_t Percent =
          isStalled(Inbound.at(*Slowest)) ? ReplyPercent : MaxReplyPercent;
      if (Total + Bytes <= percentOf(Settings.MemoryLimit, Percent))
        return true;
      if (Slowest == Origin)
        return false;
      InboundConnection &Peer = Inbound.at(*Slowest);
      if (Peer.Waiting.empty())
        onInboundLost(*Slowest, "the peer does not take its replies");
      else
        sendWaiting(*Slowest, Peer, true);
    }
  }

  // The call has run, so its caller must not be told otherwise.
  static Routing::CallReply withoutContent(const Routing::CallReply &Full) {
    Routing::CallReply Result;
    Result.Attempt = Full.Attempt;
    Result.Result = Common::isNotRun(Full.Result)
                        ? Full.Result
                        : Common::ResultCode::OutcomeUnknown;
    Result.Load = Full.Load;
    Result.QueueTime = Full.QueueTime;
    Result.ServiceTime = Full.ServiceTime;
    Result.Server = Full.Server;
    return Result;
  }

  void onMessage(ShareLoad &Command) {
    Targets.ToIngress.post(LoadReceived{Command.Server, Command.Load});
    LatestLoad = std::move(Command);
    shareLoad();
  }

  void shareLoad() {
    if (LatestLoad.Server.empty())
      return;
    const Common::SteadyTime Now = now();
    Membership::LoadSubscribers Listeners;
    for (const auto &[Origin, Connection] : Inbound)
      Connection.Sharing.addTo(Listeners, Now);
    std::string Encoded;
    for (auto &[Origin, Connection] : Inbound) {
      if (!Connection.Sharing.isDue(LatestLoad.Load, Listeners, Now))
        continue;
      if (Encoded.empty())
        Encoded = Wire::encodeFrame(
            Wire::LoadReport{LatestLoad.Server, LatestLoad.Load});
      Connection.Sharing.onLoadSent(LatestLoad.Load, Now);
      Connection.Socket->send(Encoded);
    }
  }

  std::string otherDataCentre(const std::string &DataCentre) const {
    return DataCentre == Settings.DataCentre ? std::string() : DataCentre;
  }

  OutboundConnection &outbound(const Routing::NodeAddress &Address,
                               const std::string &DataCentre) {
    const auto Found = Outbound.find(Address);
    if (Found != Outbound.end()) {
      const OutboundConnection &Current = Found->second;
      if (!Current.WasConnected || Current.Socket->isConnected())
        return Found->second;
      // Its close has not been reported yet.
      auto Closed = Outbound.extract(Found);
      setAside(Address, std::move(Closed.mapped()));
    }
    const ConnectionId Id = NextConnection++;
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [this, Address, Id](std::string_view Bytes) {
      const auto Old = Retired.find(Id);
      if (Old == Retired.end())
        handleOutboundFrame(Outbound.at(Address), Bytes);
      else
        handleRetiredFrame(Old->second.Connection, Bytes);
    };
    Events.OnConnected = [this, Address] {
      OutboundConnection &Connected = Outbound.at(Address);
      Connected.WasConnected = true;
      recordSignOfLife(Connected.DataCentre);
      spdlog::info("dependency=node state=connected address={}", Address);
      Backoffs.erase(Address);
    };
    Events.OnClosed = [this, Address, Id](const std::string &Reason) {
      const auto Old = Retired.extract(Id);
      if (Old.empty())
        onOutboundLost(Address, Reason);
      else
        reportLost(Address, Old.mapped().Connection, Reason);
    };
    auto Socket = Wire::FrameSocket::connect(Task, Address, std::move(Events));
    Socket->send(Wire::encodeFrame(
        Wire::Hello{Settings.Name, Settings.DataCentre, Wire::ProtocolLevel}));
    const Membership::EchoLimits Limits{
        Settings.EchoInterval, Settings.IdleEchoInterval, Settings.EchoLimit};
    return Outbound
        .emplace(Address,
                 OutboundConnection{Id,
                                    std::move(Socket),
                                    Membership::EchoMonitor(Limits, now()),
                                    {},
                                    false,
                                    {},
                                    DataCentre})
        .first->second;
  }

  void handleOutboundFrame(OutboundConnection &From, std::string_view Bytes) {
    recordSignOfLife(From.DataCentre);
    Wire::Frame Content = Wire::decodeFrame(Bytes);
    if (auto *Reply = std::get_if<Routing::CallReply>(&Content)) {
      handleReply(From, *Reply);
    } else if (auto *Report = std::get_if<Wire::LoadReport>(&Content)) {
      Targets.ToIngress.post(
          LoadReceived{std::move(Report->Server), Report->Load});
    } else if (const auto *Echo = std::get_if<Wire::Echo>(&Content)) {
      if (Echo->IsAnswer)
        From.Monitor.onAnswer(Echo->Sequence);
    }
  }

  // What else arrives on a retired connection may be out of date.
  void handleRetiredFrame(OutboundConnection &From, std::string_view Bytes) {
    recordSignOfLife(From.DataCentre);
    Wire::Frame Content = Wire::decodeFrame(Bytes);
    if (auto *Reply = std::get_if<Routing::CallReply>(&Content))
      handleReply(From, *Reply);
    else if (const auto *Echo = std::get_if<Wire::Echo>(&Content);
             Echo && Echo->IsAnswer)
      From.Monitor.onAnswer(Echo->Sequence);
  }

  void handleReply(OutboundConnection &From, Routing::CallReply &Reply) {
    if (From.PendingAttempts.erase(Reply.Attempt) > 0)
      Targets.ToIngress.post(ReplyArrived{std::move(Reply)});
  }

  void onOutboundLost(const Routing::NodeAddress &Address,
                      const std::string &Reason) {
    const auto Lost = Outbound.extract(Address);
    if (!Lost.empty())
      reportLost(Address, Lost.mapped(), Reason);
  }

  // The socket must be closed already, or before anything else is sent on it:
  // what was not sent counts as not run.
  void reportLost(const Routing::NodeAddress &Address,
                  const OutboundConnection &Lost, const std::string &Reason) {
    spdlog::warn("dependency=node state=lost address={} pending-attempts={} "
                 "reason=\"{}\"",
                 Address, Lost.PendingAttempts.size(), Reason);
    if (Lost.WasConnected) {
      NodeLost Report{Address};
      for (const auto &[Attempt, Pending] : Lost.PendingAttempts)
        if (Pending.FrameStart >= Lost.Socket->sentBytes())
          refuse(Attempt);
        else
          Report.Attempts.push_back(Attempt);
      Targets.ToIngress.post(std::move(Report));
      return;
    }
    // The connection was never established, so the calls did not run.
    Backoffs.try_emplace(Address, Random()).first->second.failed(now());
    for (const auto &[Attempt, Pending] : Lost.PendingAttempts)
      refuse(Attempt);
  }

  // Ends the use of a connection whose echoes timed out. Without a fault, this
  // happens when the node or this one lacks processor time. So the replies to
  // calls that cannot be sent elsewhere are still awaited.
  void retire(const Routing::NodeAddress &Address) {
    auto Silent = Outbound.extract(Address);
    if (Silent.empty())
      return;
    OutboundConnection &Old = Silent.mapped();
    std::vector<Routing::AttemptId> Kept;
    NodeLost Report{Address};
    for (const auto &[Attempt, Pending] : Old.PendingAttempts)
      (Pending.MayBeRepeated ? Report.Attempts : Kept).push_back(Attempt);
    if (!Old.WasConnected || Kept.empty()) {
      reportLost(Address, Old, "echo timed out");
      return;
    }
    spdlog::warn("dependency=node state=silent address={} pending-attempts={} "
                 "kept-attempts={} reason=\"echo timed out\"",
                 Address, Old.PendingAttempts.size(), Kept.size());
    for (const Routing::AttemptId Attempt : Report.Attempts)
      cancel(Old, Attempt);
    setAside(Address, std::move(Old));
    if (!Report.Attempts.empty())
      Targets.ToIngress.post(std::move(Report));
    Targets.ToIngress.post(NodeSilent{Address, std::move(Kept)});
    dropOldestRetired(Address);
  }

  void setAside(const Routing::NodeAddress &Address, OutboundConnection Old) {
    const ConnectionId Id = Old.Id;
    Retired.emplace(Id, RetiredConnection{Address, std::move(Old)});
  }

  void dropOldestRetired(const Routing::NodeAddress &Address) {
    const auto IsOfNode = [&](const auto &Entry) {
      return Entry.second.Address == Address;
    };
    const auto Count = std::ranges::count_if(Retired, IsOfNode);
    if (Count <= MaxRetiredPerNode)
      return;
    const auto Oldest =
        Retired.extract(std::ranges::find_if(Retired, IsOfNode));
    reportLost(Address, Oldest.mapped().Connection, "too many are silent");
  }

  // Goes on with the echoes, so that the node does not take this side for lost.
  void checkRetired() {
    std::erase_if(Retired, [](const auto &Entry) {
      return Entry.second.Connection.PendingAttempts.empty();
    });
    for (auto &[Id, Old] : Retired)
      if (const auto Step = Old.Connection.Monitor.tick(false, now());
          Step.SendEcho)
        Old.Connection.Socket->send(
            Wire::encodeFrame(Wire::Echo{*Step.SendEcho, false}));
  }

  void refuse(Routing::AttemptId Attempt,
              Common::ResultCode Code = Common::ResultCode::PeerUnreachable) {
    Routing::CallReply Refused;
    Refused.Attempt = Attempt;
    Refused.Result = Code;
    Targets.ToIngress.post(ReplyArrived{std::move(Refused)});
  }

  static void closeIfAnswered(InboundConnection &Connection) {
    Connection.Socket->readArrived();
    if (Connection.Unanswered.empty())
      Connection.Socket->closeGracefully();
  }

  // Whether a reply is unsent or still to come. Requests that are passed on
  // during the drain are refused at once.
  bool mustAwait(const InboundConnection &Connection) const {
    return Connection.Socket->unsentBytes() > 0 ||
           std::any_of(
               Connection.Unanswered.begin(), Connection.Unanswered.end(),
               [this](const auto &Entry) { return Entry.second < DrainBegan; });
  }

  void finishDrainIfSent() {
    if (!OnDrained)
      return;
    if (std::any_of(Inbound.begin(), Inbound.end(), [this](const auto &Entry) {
          return mustAwait(Entry.second);
        }))
      LastWaited = now();
    if (Inbound.empty() || now() - LastWaited >= CloseLimit)
      std::exchange(OnDrained, nullptr)();
  }

  void accept(const Adopter &Adopt) {
    const OriginId Origin = NextOrigin++;
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [this, Origin](std::string_view Bytes) {
      handleInboundFrame(Origin, Bytes);
    };
    Events.OnClosed = [this, Origin](const std::string &Reason) {
      onInboundLost(Origin, Reason);
    };
    Inbound.emplace(Origin,
                    InboundConnection{Adopt(std::move(Events)), now(), {}});
  }

  void onInboundLost(OriginId Origin, const std::string &Reason) {
    spdlog::info("event=inbound-connection-lost origin={} reason=\"{}\"",
                 Origin, Reason);
    const auto Lost = Inbound.extract(Origin);
    Targets.ToBackend.post(OriginLost{Origin});
    finishDrainIfSent();
  }

  void handleInboundFrame(OriginId Origin, std::string_view Bytes) {
    InboundConnection &From = Inbound.at(Origin);
    From.LastReceived = now();
    Wire::Frame Content = Wire::decodeFrame(Bytes);
    if (const auto *Greeting = std::get_if<Wire::Hello>(&Content)) {
      From.Sharing = Membership::LoadReportScheduler(Greeting->DataCentre ==
                                                     Settings.DataCentre);
      From.DataCentre = otherDataCentre(Greeting->DataCentre);
    }
    recordSignOfLife(From.DataCentre);
    if (auto *Request = std::get_if<Routing::CallRequest>(&Content))
      handleRequest(Origin, From, *Request);
    else if (const auto *Cancel = std::get_if<Wire::CancelCall>(&Content))
      handleCancel(Origin, From, *Cancel);
    else if (const auto *Echo = std::get_if<Wire::Echo>(&Content))
      From.Socket->send(Wire::encodeFrame(Wire::Echo{Echo->Sequence, true}));
  }

  void handleRequest(OriginId Origin, InboundConnection &From,
                     Routing::CallRequest &Request) {
    From.Sharing.onCall(now());
    From.Unanswered.emplace(Request.Attempt, now());
    LastWaited = now();
    Targets.ToBackend.post(RequestArrived{Origin, std::move(Request)});
  }

  void handleCancel(OriginId Origin, InboundConnection &From,
                    const Wire::CancelCall &Cancel) {
    From.Unanswered.erase(Cancel.Attempt);
    Targets.ToBackend.post(CancelArrived{Origin, Cancel.Attempt});
  }

  void tick() {
    Clock.after(TickInterval, [this] { tick(); });
    shareLoad();
    checkOutbound();
    checkRetired();
    checkInbound();
    checkReplies();
    checkDataCentres();
    if (OnDrained)
      for (auto &[Origin, Connection] : Inbound)
        closeIfAnswered(Connection);
    finishDrainIfSent();
  }

  void recordSignOfLife(const std::string &DataCentre) {
    if (DataCentre.empty())
      return;
    Reachability.onReceived(DataCentre, now());
    publishUnreachable();
  }

  void checkDataCentres() {
    std::map<std::string, Membership::DataCentreReachability::Unanswered>
        Echoes;
    for (const std::string &DataCentre : Published)
      Echoes[DataCentre];
    for (const auto &[Address, Connection] : Outbound) {
      if (Connection.DataCentre.empty())
        continue;
      auto &OfDataCentre = Echoes[Connection.DataCentre];
      if (const auto Since = Connection.Monitor.unansweredSince())
        OfDataCentre.add(*Since);
    }
    for (const auto &[DataCentre, Unanswered] : Echoes)
      Reachability.update(DataCentre, Unanswered, now());
    publishUnreachable();
    for (const std::string &DataCentre : Published)
      if (Reachability.takeProbe(DataCentre, now()))
        probe(DataCentre);
  }

  // Connects anew to the nodes of an unreachable data centre in turn, since the
  // old connections may stay silent when it is reachable again.
  void probe(const std::string &DataCentre) {
    std::deque<Routing::NodeAddress> &Nodes = ProbeTargets[DataCentre];
    if (Nodes.empty())
      return;
    Nodes.push_back(std::move(Nodes.front()));
    Nodes.pop_front();
    outbound(Nodes.back(), DataCentre);
  }

  // Tells the ingress which data centres calls must not be sent to.
  void publishUnreachable() {
    const std::set<std::string> &Unreachable = Reachability.unreachable();
    if (Unreachable == Published)
      return;
    for (const std::string &DataCentre : Unreachable)
      if (!Published.contains(DataCentre))
        giveUp(DataCentre);
    for (const std::string &DataCentre : Published)
      if (!Unreachable.contains(DataCentre)) {
        spdlog::info("dependency=data-centre state=regained name={}",
                     DataCentre);
        ProbeTargets.erase(DataCentre);
      }
    Published = Unreachable;
    Targets.ToIngress.post(DataCentresUnreachable{Published});
  }

  // Refuses the calls that wait for a connection to the data centre. Those that
  // were sent may be running there, so their connections are kept.
  void giveUp(const std::string &DataCentre) {
    std::vector<Routing::NodeAddress> NeverConnected;
    std::deque<Routing::NodeAddress> &Nodes = ProbeTargets[DataCentre];
    for (const auto &[Address, Connection] : Outbound)
      if (Connection.DataCentre == DataCentre) {
        Nodes.push_back(Address);
        if (!Connection.WasConnected)
          NeverConnected.push_back(Address);
      }
    spdlog::warn("dependency=data-centre state=lost name={} connections={}",
                 DataCentre, Nodes.size());
    for (const Routing::NodeAddress &Address : NeverConnected)
      onOutboundLost(Address, "the data centre is unreachable");
  }

  void checkOutbound() {
    std::vector<Routing::NodeAddress> TimedOut;
    std::vector<Routing::NodeAddress> NeverConnected;
    for (auto &[Address, Connection] : Outbound) {
      if (!Connection.WasConnected && Connection.ConnectBy &&
          now() >= *Connection.ConnectBy) {
        NeverConnected.push_back(Address);
        continue;
      }
      // When one node of a data centre is silent, all its nodes are asked.
      const bool InDoubt = Reachability.state(Connection.DataCentre) ==
                           Membership::DataCentreReachability::State::InDoubt;
      const auto Step = Connection.Monitor.tick(
          InDoubt || !Connection.PendingAttempts.empty(), now());
      if (Step.SendEcho)
        Connection.Socket->send(
            Wire::encodeFrame(Wire::Echo{*Step.SendEcho, false}));
      if (Step.TimedOut)
        TimedOut.push_back(Address);
    }
    for (const Routing::NodeAddress &Address : TimedOut)
      if (!hasAnswered(Address))
        retire(Address);
    for (const Routing::NodeAddress &Address : NeverConnected)
      onOutboundLost(Address, "no connection in time");
  }

  // Whether the answer to the echo has arrived, but was not read yet.
  bool hasAnswered(const Routing::NodeAddress &Address) {
    const auto Silent = Outbound.find(Address);
    if (Silent == Outbound.end())
      return false;
    Silent->second.Socket->readArrived();
    const auto Current = Outbound.find(Address);
    return Current != Outbound.end() &&
           !Current->second.Monitor.unansweredSince();
  }

  // The remote end sends echoes even on an idle connection. When it closes this
  // connection, the close may never arrive here, so silence counts as a loss.
  // After a pause of this process the idle time starts anew.
  void checkInbound() {
    const Common::SteadyTime Now = now();
    const bool WasPaused = Now - LastInboundCheck > Settings.EchoLimit;
    LastInboundCheck = Now;
    std::vector<OriginId> TimedOut;
    for (auto &[Origin, Connection] : Inbound) {
      if (WasPaused)
        Connection.LastReceived = Now;
      if (Now - Connection.LastReceived >
          Settings.IdleEchoInterval * MaxMissedIdleEchoes)
        TimedOut.push_back(Origin);
    }
    for (const OriginId Origin : TimedOut) {
      InboundConnection &Silent = Inbound.at(Origin);
      Silent.Socket->readArrived();
      if (Silent.LastReceived < Now)
        onInboundLost(Origin, "silent");
    }
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Routing::NodeAddress OwnAddress;
  std::unique_ptr<Wire::FrameListener> Listener;
  std::unordered_map<Routing::NodeAddress, OutboundConnection> Outbound;
  // In the order in which they were opened.
  std::map<ConnectionId, RetiredConnection> Retired;
  std::unordered_map<Routing::NodeAddress, Membership::Backoff> Backoffs;
  std::unordered_map<OriginId, InboundConnection> Inbound;
  Membership::DataCentreReachability Reachability;
  // The unreachable data centres that the ingress knows of.
  std::set<std::string> Published;
  // The nodes of each unreachable data centre to connect to in turn.
  std::map<std::string, std::deque<Routing::NodeAddress>> ProbeTargets;
  std::mt19937_64 Random{std::random_device{}()};
  // The last reported load of the local backend server.
  ShareLoad LatestLoad;
  Common::SteadyTime LastInboundCheck = now();
  bool ReplyCheckScheduled = false;
  OriginId NextOrigin = LocalOrigin + 1;
  ConnectionId NextConnection = 1;
  Common::SteadyTime DrainBegan;
  // When a reply was last awaited or unsent, or a request was last passed on.
  Common::SteadyTime LastWaited;
  std::function<void()> OnDrained;
};

} // namespace Node
