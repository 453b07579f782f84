#include "Node/ControlService.h"

namespace Node {

void ControlService::start() {
  Targets = FindSinks();
  Listener = std::make_unique<Wire::FrameListener>(
      Task, Settings.Address, Settings.ControlPort, [this](const auto &Adopt) {
        const OriginId Origin = NextOrigin++;
        Wire::FrameSocket::Events Events;
        Events.OnFrame = [this, Origin](std::string_view Bytes) {
          deliver(Origin, Bytes);
        };
        Events.OnClosed = [this, Origin](const std::string &Reason) {
          spdlog::debug("control connection {} closed: {}", Origin, Reason);
          ByOrigin.erase(Origin);
          Inbound.erase(Origin);
        };
        auto Socket = Adopt(std::move(Events));
        ByOrigin.emplace(Origin, Socket.get());
        Inbound.emplace(Origin, std::move(Socket));
      });
}

void ControlService::handle(Message Content) {
  std::visit([this](const auto &Command) { this->onMessage(Command); },
             Content);
}

void ControlService::stop() {
  Listener.reset();
  ByOrigin.clear();
  Inbound.clear();
  Outbound.clear();
}

void ControlService::onMessage(const SendEnvelope &Command) {
  outbound(Command.Address)
      .send(
          Wire::encodeFrame(Wire::Envelope{Command.Service, Command.Content}));
}

void ControlService::onMessage(const ReplyEnvelope &Command) {
  // The reply is dropped when the connection of its origin is closed.
  const auto Found = ByOrigin.find(Command.Origin);
  if (Found != ByOrigin.end())
    Found->second->send(
        Wire::encodeFrame(Wire::Envelope{Command.Service, Command.Content}));
}

Wire::FrameSocket &
ControlService::outbound(const Routing::NodeAddress &Address) {
  const auto Found = Outbound.find(Address);
  if (Found != Outbound.end())
    return *Found->second;
  const OriginId Origin = NextOrigin++;
  Wire::FrameSocket::Events Events;
  Events.OnFrame = [this, Origin](std::string_view Bytes) {
    deliver(Origin, Bytes);
  };
  Events.OnClosed = [this, Origin, Address](const std::string &Reason) {
    spdlog::debug("control connection to {} closed: {}", Address, Reason);
    ByOrigin.erase(Origin);
    Outbound.erase(Address);
    for (const auto &[Name, Sinks] : Targets)
      Sinks.OnLost(EnvelopeConnectionLost{Address});
  };
  auto Socket = Wire::FrameSocket::connect(Task, Address, std::move(Events));
  Socket->send(Wire::encodeFrame(
      Wire::Hello{Settings.Name, Settings.DataCentre, Wire::ProtocolLevel}));
  ByOrigin.emplace(Origin, Socket.get());
  return *Outbound.emplace(Address, std::move(Socket)).first->second;
}

void ControlService::deliver(OriginId Origin, std::string_view Bytes) {
  Wire::Frame Content = Wire::decodeFrame(Bytes);
  auto *Envelope = std::get_if<Wire::Envelope>(&Content);
  if (!Envelope)
    return;
  const auto Found = Targets.find(Envelope->Service);
  if (Found == Targets.end()) {
    spdlog::warn("envelope for unknown service {}", Envelope->Service);
    return;
  }
  Found->second.OnArrived(
      EnvelopeArrived{Origin, std::move(Envelope->Content)});
}

} // namespace Node
