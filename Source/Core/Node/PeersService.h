#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/Codec.h"
#include "Wire/FrameSocket.h"

namespace Node {

// Owns the connections to other nodes, one each way to each node.
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
  using Adopter = std::function<std::unique_ptr<Wire::FrameSocket>(
      Wire::FrameSocket::Events)>;

  void take(SendRequest &Part) {
    // A call to the backend server beside this node needs no connection.
    if (Part.Address == OwnAddress) {
      Targets.ToBackend.post(
          RequestArrived{LocalOrigin, std::move(Part.Request)});
      return;
    }
    outbound(Part.Address).send(Wire::encodeFrame(Part.Request));
  }

  void take(SendCancel &Part) {
    if (Part.Address == OwnAddress) {
      Targets.ToBackend.post(CancelArrived{LocalOrigin, Part.Attempt});
      return;
    }
    outbound(Part.Address)
        .send(Wire::encodeFrame(Wire::CancelCall{Part.Attempt}));
  }

  void take(SendReply &Part) {
    if (Part.Origin == LocalOrigin) {
      Targets.ToFront.post(ReplyArrived{std::move(Part.Reply)});
      return;
    }
    // A lost origin has no use for the answer.
    const auto Found = Inbound.find(Part.Origin);
    if (Found != Inbound.end())
      Found->second->send(Wire::encodeFrame(Part.Reply));
  }

  Wire::FrameSocket &outbound(const Routing::NodeAddress &Address) {
    const auto Found = Outbound.find(Address);
    if (Found != Outbound.end())
      return *Found->second;
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [this](std::string_view Bytes) { takeAnswer(Bytes); };
    Events.OnClosed = [this, Address](const std::string &Why) {
      spdlog::warn("connection to {} ended: {}", Address, Why);
      Outbound.erase(Address);
      Targets.ToFront.post(NodeLost{Address});
    };
    auto Socket = Wire::FrameSocket::connect(Home, Address, std::move(Events));
    Socket->send(Wire::encodeFrame(
        Wire::Hello{Settings.Name, Settings.DataCentre, Wire::ProtocolLevel}));
    return *Outbound.emplace(Address, std::move(Socket)).first->second;
  }

  void takeAnswer(std::string_view Bytes) {
    Wire::Frame Content = Wire::decodeFrame(Bytes);
    if (auto *Reply = std::get_if<Routing::CallReply>(&Content))
      Targets.ToFront.post(ReplyArrived{std::move(*Reply)});
  }

  void accept(const Adopter &Adopt) {
    const OriginId Origin = NextOrigin++;
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [this, Origin](std::string_view Bytes) {
      takeFrame(Origin, Bytes);
    };
    Events.OnClosed = [this, Origin](const std::string &Why) {
      spdlog::info("connection {} from a node ended: {}", Origin, Why);
      Inbound.erase(Origin);
      Targets.ToBackend.post(OriginLost{Origin});
    };
    Inbound.emplace(Origin, Adopt(std::move(Events)));
  }

  void takeFrame(OriginId Origin, std::string_view Bytes) {
    Wire::Frame Content = Wire::decodeFrame(Bytes);
    if (auto *Request = std::get_if<Routing::CallRequest>(&Content))
      Targets.ToBackend.post(RequestArrived{Origin, std::move(*Request)});
    else if (const auto *Cancel = std::get_if<Wire::CancelCall>(&Content))
      Targets.ToBackend.post(CancelArrived{Origin, Cancel->Attempt});
  }

  Kernel::Task &Home;
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Routing::NodeAddress OwnAddress;
  std::unique_ptr<Wire::FrameListener> Listener;
  std::unordered_map<Routing::NodeAddress, std::unique_ptr<Wire::FrameSocket>>
      Outbound;
  std::unordered_map<OriginId, std::unique_ptr<Wire::FrameSocket>> Inbound;
  OriginId NextOrigin = LocalOrigin + 1;
};

} // namespace Node
