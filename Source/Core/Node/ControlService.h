#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

#include <spdlog/spdlog.h>

#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/Codec.h"
#include "Wire/FrameSocket.h"

namespace Node {

// Where envelopes for one service go on this node.
struct EnvelopeSinks {
  std::function<void(EnvelopeArrived)> OnArrived;
  std::function<void(EnvelopeLost)> OnLost;
};

// Passes envelopes on to a service whose messages include them.
template <class Message>
EnvelopeSinks envelopeSinks(Kernel::Address<Message> Target) {
  return {[Target](EnvelopeArrived Part) mutable {
            Target.post(Message(std::move(Part)));
          },
          [Target](EnvelopeLost Part) mutable {
            Target.post(Message(std::move(Part)));
          }};
}

// Carries messages between services of the same name on different nodes, on
// connections apart from those of calls: a large set must not hold up a call.
class ControlService {
public:
  using Message = ControlMessage;
  using SinksByService = std::map<std::string, EnvelopeSinks>;

  ControlService(Kernel::Context Around, const NodeSettings &Settings,
                 std::function<SinksByService()> FindSinks)
      : Home(Around.Home), Settings(Settings), FindSinks(std::move(FindSinks)) {
  }

  void start();
  void handle(Message Content);
  void stop();

private:
  void take(const SendEnvelope &Part);
  void take(const ReplyEnvelope &Part);
  Wire::FrameSocket &outbound(const Routing::NodeAddress &Address);
  void deliver(OriginId Origin, std::string_view Bytes);

  Kernel::Task &Home;
  NodeSettings Settings;
  std::function<SinksByService()> FindSinks;
  SinksByService Targets;
  std::unique_ptr<Wire::FrameListener> Listener;
  std::unordered_map<Routing::NodeAddress, std::unique_ptr<Wire::FrameSocket>>
      Outbound;
  // Every connection by the origin that answers are sent to, with the address
  // for those that this node opened.
  std::unordered_map<OriginId, Wire::FrameSocket *> ByOrigin;
  std::unordered_map<OriginId, std::unique_ptr<Wire::FrameSocket>> Inbound;
  OriginId NextOrigin = LocalOrigin + 1;
};

} // namespace Node
