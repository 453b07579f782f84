#pragma once

#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Kernel/Host.h"
#include "Membership/Backoff.h"
#include "Membership/EchoMonitor.h"
#include "Membership/LoadReportScheduler.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/Codec.h"
#include "Wire/FrameSocket.h"

namespace Node {

// Owns the connections to other nodes, one each way to each node. A connection
// on which echoes stay unanswered is given up for a new one; what still comes
// on the old one is not read.
template <Kernel::MessageSink<FrontMessage> Front,
          Kernel::MessageSink<BackendMessage> Backend>
class PeersService {
public:
  using Message = PeersMessage;

  struct Sinks {
    Front ToFront;
    Backend ToBackend;
  };

  PeersService(Kernel::Context Around, const NodeSettings &Settings,
               std::function<Sinks()> FindSinks)
      : Home(Around.Home), Settings(Settings), FindSinks(std::move(FindSinks)) {
  }

  void start() {
    Targets = FindSinks();
    OwnAddress = Settings.Address + ":" + std::to_string(Settings.PeerPort);
    Listener = std::make_unique<Wire::FrameListener>(
        Home, Settings.Address, Settings.PeerPort,
        [this](const auto &Adopt) { accept(Adopt); });
    tick();
  }

  void handle(Message Content) {
    std::visit([this](auto &Part) { this->take(Part); }, Content);
  }

  void stop() {
    Listener.reset();
    Outbound.clear();
    Inbound.clear();
  }

private:
  static constexpr Common::Millis TickInterval{100};
  static constexpr int MissedIdleEchoes = 3;

  struct OutboundConnection {
    std::unique_ptr<Wire::FrameSocket> Socket;
    Membership::EchoMonitor Monitor;
    std::unordered_set<Routing::AttemptId> Awaited;
    bool WasConnected = false;
  };
  struct InboundConnection {
    std::unique_ptr<Wire::FrameSocket> Socket;
    Common::SteadyTime HeardAt;
    Membership::LoadReportScheduler Sharing{false};
  };

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  using Adopter = std::function<std::unique_ptr<Wire::FrameSocket>(
      Wire::FrameSocket::Events)>;

  void take(SendRequest &Part) {
    // A call to the backend server beside this node needs no connection.
    if (Part.Address == OwnAddress) {
      Targets.ToBackend.post(
          RequestArrived{LocalOrigin, std::move(Part.Request)});
      return;
    }
    const auto Waited = Backoffs.find(Part.Address);
    if (Waited != Backoffs.end() && !Waited->second.mayTry(now())) {
      refuse(Part.Request.Attempt);
      return;
    }
    OutboundConnection &Way = outbound(Part.Address);
    Way.Awaited.insert(Part.Request.Attempt);
    Way.Socket->send(Wire::encodeFrame(Part.Request));
  }

  void take(SendCancel &Part) {
    if (Part.Address == OwnAddress) {
      Targets.ToBackend.post(CancelArrived{LocalOrigin, Part.Attempt});
      return;
    }
    const auto Found = Outbound.find(Part.Address);
    if (Found == Outbound.end())
      return; // The far node ended the call when the connection was lost.
    Found->second.Awaited.erase(Part.Attempt);
    Found->second.Socket->send(
        Wire::encodeFrame(Wire::CancelCall{Part.Attempt}));
  }

  void take(SendReply &Part) {
    if (Part.Origin == LocalOrigin) {
      Targets.ToFront.post(ReplyArrived{std::move(Part.Reply)});
      return;
    }
    // A lost origin has no use for the answer.
    const auto Found = Inbound.find(Part.Origin);
    if (Found == Inbound.end())
      return;
    Found->second.Sharing.onLoadSent(Part.Reply.Load, now());
    Found->second.Socket->send(Wire::encodeFrame(Part.Reply));
  }

  void take(ShareLoad &Part) {
    Targets.ToFront.post(LoadHeard{Part.Server, Part.Load});
    Latest = std::move(Part);
    shareLoad();
  }

  void shareLoad() {
    if (Latest.Server.empty())
      return;
    const Common::SteadyTime Now = now();
    Membership::LoadSubscribers Listeners;
    for (const auto &[Origin, Each] : Inbound)
      Each.Sharing.addTo(Listeners, Now);
    std::string Encoded;
    for (auto &[Origin, Each] : Inbound) {
      if (!Each.Sharing.isDue(Latest.Load, Listeners, Now))
        continue;
      if (Encoded.empty())
        Encoded =
            Wire::encodeFrame(Wire::LoadReport{Latest.Server, Latest.Load});
      Each.Sharing.onLoadSent(Latest.Load, Now);
      Each.Socket->send(Encoded);
    }
  }

  OutboundConnection &outbound(const Routing::NodeAddress &Address) {
    const auto Found = Outbound.find(Address);
    if (Found != Outbound.end())
      return Found->second;
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [this, Address](std::string_view Bytes) {
      takeAnswer(Outbound.at(Address), Bytes);
    };
    Events.OnConnected = [this, Address] {
      Outbound.at(Address).WasConnected = true;
      spdlog::info("dependency=node state=connected address={}", Address);
      Backoffs.erase(Address);
    };
    Events.OnClosed = [this, Address](const std::string &Why) {
      lose(Address, Why);
    };
    auto Socket = Wire::FrameSocket::connect(Home, Address, std::move(Events));
    Socket->send(Wire::encodeFrame(
        Wire::Hello{Settings.Name, Settings.DataCentre, Wire::ProtocolLevel}));
    const Membership::EchoLimits Limits{
        Settings.EchoInterval, Settings.IdleEchoInterval, Settings.EchoLimit};
    return Outbound
        .emplace(Address,
                 OutboundConnection{std::move(Socket),
                                    Membership::EchoMonitor(Limits, now()),
                                    {},
                                    false})
        .first->second;
  }

  void takeAnswer(OutboundConnection &From, std::string_view Bytes) {
    Wire::Frame Content = Wire::decodeFrame(Bytes);
    if (auto *Reply = std::get_if<Routing::CallReply>(&Content)) {
      From.Awaited.erase(Reply->Attempt);
      Targets.ToFront.post(ReplyArrived{std::move(*Reply)});
    } else if (auto *Report = std::get_if<Wire::LoadReport>(&Content)) {
      Targets.ToFront.post(LoadHeard{std::move(Report->Server), Report->Load});
    } else if (const auto *Echo = std::get_if<Wire::Echo>(&Content)) {
      if (Echo->IsAnswer)
        From.Monitor.onAnswer(Echo->Sequence);
    }
  }

  void lose(const Routing::NodeAddress &Address, const std::string &Why) {
    const auto Lost = Outbound.extract(Address);
    if (Lost.empty())
      return;
    spdlog::warn(
        "dependency=node state=lost address={} awaited={} reason=\"{}\"",
        Address, Lost.mapped().Awaited.size(), Why);
    if (Lost.mapped().WasConnected) {
      Targets.ToFront.post(NodeLost{Address});
      return;
    }
    // Nothing left this node, so the calls did not run.
    Backoffs.try_emplace(Address, Random()).first->second.failed(now());
    for (const Routing::AttemptId Each : Lost.mapped().Awaited)
      refuse(Each);
  }

  void refuse(Routing::AttemptId Attempt) {
    Routing::CallReply Refused;
    Refused.Attempt = Attempt;
    Refused.Result = Common::ResultCode::PeerUnreachable;
    Targets.ToFront.post(ReplyArrived{std::move(Refused)});
  }

  void accept(const Adopter &Adopt) {
    const OriginId Origin = NextOrigin++;
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [this, Origin](std::string_view Bytes) {
      takeFrame(Origin, Bytes);
    };
    Events.OnClosed = [this, Origin](const std::string &Why) {
      loseOrigin(Origin, Why);
    };
    Inbound.emplace(Origin, InboundConnection{Adopt(std::move(Events)), now()});
  }

  void loseOrigin(OriginId Origin, const std::string &Why) {
    spdlog::info("event=origin-lost origin={} reason=\"{}\"", Origin, Why);
    const auto Lost = Inbound.extract(Origin);
    Targets.ToBackend.post(OriginLost{Origin});
  }

  void takeFrame(OriginId Origin, std::string_view Bytes) {
    InboundConnection &From = Inbound.at(Origin);
    From.HeardAt = now();
    Wire::Frame Content = Wire::decodeFrame(Bytes);
    if (const auto *Met = std::get_if<Wire::Hello>(&Content))
      From.Sharing = Membership::LoadReportScheduler(Met->DataCentre ==
                                                     Settings.DataCentre);
    else if (auto *Request = std::get_if<Routing::CallRequest>(&Content))
      takeRequest(Origin, From, *Request);
    else if (const auto *Cancel = std::get_if<Wire::CancelCall>(&Content))
      Targets.ToBackend.post(CancelArrived{Origin, Cancel->Attempt});
    else if (const auto *Echo = std::get_if<Wire::Echo>(&Content))
      From.Socket->send(Wire::encodeFrame(Wire::Echo{Echo->Sequence, true}));
  }

  void takeRequest(OriginId Origin, InboundConnection &From,
                   Routing::CallRequest &Request) {
    From.Sharing.onCall(now());
    Targets.ToBackend.post(RequestArrived{Origin, std::move(Request)});
  }

  void tick() {
    Clock.after(TickInterval, [this] { tick(); });
    shareLoad();
    checkOutbound();
    checkInbound();
  }

  void checkOutbound() {
    std::vector<Routing::NodeAddress> Silent;
    for (auto &[Address, Each] : Outbound) {
      const auto Step = Each.Monitor.tick(!Each.Awaited.empty(), now());
      if (Step.SendEcho)
        Each.Socket->send(Wire::encodeFrame(Wire::Echo{*Step.SendEcho, false}));
      if (Step.TimedOut)
        Silent.push_back(Address);
    }
    for (const Routing::NodeAddress &Each : Silent)
      lose(Each, "no echo");
  }

  // The other end sends echoes also when idle. One that has given this
  // connection up may not be able to tell.
  void checkInbound() {
    const Common::SteadyTime Now = now();
    const bool Slept = Now - LastCheck > Settings.EchoLimit;
    LastCheck = Now;
    std::vector<OriginId> Silent;
    for (auto &[Origin, Each] : Inbound) {
      if (Slept)
        Each.HeardAt = Now;
      if (Now - Each.HeardAt > Settings.IdleEchoInterval * MissedIdleEchoes)
        Silent.push_back(Origin);
    }
    for (const OriginId Each : Silent)
      loseOrigin(Each, "silent");
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Routing::NodeAddress OwnAddress;
  std::unique_ptr<Wire::FrameListener> Listener;
  std::unordered_map<Routing::NodeAddress, OutboundConnection> Outbound;
  std::unordered_map<Routing::NodeAddress, Membership::Backoff> Backoffs;
  std::unordered_map<OriginId, InboundConnection> Inbound;
  std::mt19937_64 Random{std::random_device{}()};
  // What was last heard of the backend server beside this node.
  ShareLoad Latest;
  Common::SteadyTime LastCheck = now();
  OriginId NextOrigin = LocalOrigin + 1;
};

} // namespace Node
