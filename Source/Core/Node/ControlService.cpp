#include "Node/ControlService.h"

namespace Node {

void ControlService::start() {
  Targets = FindSinks();
  Listener = std::make_unique<Wire::FrameListener>(
      Home, Settings.Address, Settings.ControlPort, [this](const auto &Adopt) {
        const OriginId Origin = NextOrigin++;
        Wire::FrameSocket::Events Events;
        Events.OnFrame = [this, Origin](std::string_view Bytes) {
          deliver(Origin, Bytes);
        };
        Events.OnClosed = [this, Origin](const std::string &Why) {
          spdlog::debug("control connection {} ended: {}", Origin, Why);
          ByOrigin.erase(Origin);
          Inbound.erase(Origin);
        };
        auto Socket = Adopt(std::move(Events));
        ByOrigin.emplace(Origin, Socket.get());
        Inbound.emplace(Origin, std::move(Socket));
      });
}

void ControlService::handle(Message Content) {
  std::visit([this](const auto &Part) { this->take(Part); }, Content);
}

void ControlService::stop() {
  Listener.reset();
  ByOrigin.clear();
  Inbound.clear();
  Outbound.clear();
}

void ControlService::take(const SendEnvelope &Part) {
  outbound(Part.Address)
      .send(Wire::encodeFrame(Wire::Envelope{Part.Service, Part.Content}));
}

void ControlService::take(const ReplyEnvelope &Part) {
  // An origin that is gone has no use for the answer.
  const auto Found = ByOrigin.find(Part.Origin);
  if (Found != ByOrigin.end())
    Found->second->send(
        Wire::encodeFrame(Wire::Envelope{Part.Service, Part.Content}));
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
  Events.OnClosed = [this, Origin, Address](const std::string &Why) {
    spdlog::debug("control connection to {} ended: {}", Address, Why);
    ByOrigin.erase(Origin);
    Outbound.erase(Address);
    for (const auto &[Name, Each] : Targets)
      Each.OnLost(EnvelopeLost{Address});
  };
  auto Socket = Wire::FrameSocket::connect(Home, Address, std::move(Events));
  Socket->send(Wire::encodeFrame(
      Wire::Hello{Settings.Name, Settings.DataCentre, Wire::ProtocolLevel}));
  ByOrigin.emplace(Origin, Socket.get());
  return *Outbound.emplace(Address, std::move(Socket)).first->second;
}

void ControlService::deliver(OriginId Origin, std::string_view Bytes) {
  Wire::Frame Content = Wire::decodeFrame(Bytes);
  auto *Arrived = std::get_if<Wire::Envelope>(&Content);
  if (!Arrived)
    return;
  const auto Found = Targets.find(Arrived->Service);
  if (Found == Targets.end()) {
    spdlog::warn("envelope for unknown service {}", Arrived->Service);
    return;
  }
  Found->second.OnArrived(EnvelopeArrived{Origin, std::move(Arrived->Content)});
}

} // namespace Node
