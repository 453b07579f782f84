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

// Receives the envelopes for one service on this node.
struct EnvelopeSinks {
  std::function<void(EnvelopeArrived)> OnArrived;
  std::function<void(EnvelopeConnectionLost)> OnLost;
};

// Forwards envelopes to a service whose message type includes them.
template <class Message>
EnvelopeSinks envelopeSinks(Kernel::Address<Message> Target) {
  return {[Target](EnvelopeArrived Event) mutable {
            Target.post(Message(std::move(Event)));
          },
          [Target](EnvelopeConnectionLost Event) mutable {
            Target.post(Message(std::move(Event)));
          }};
}

// Carries messages between services of the same name on different nodes. It
// uses connections of its own, so that a large configuration set does not delay
// calls.
class ControlService {
public:
  using Message = ControlMessage;
  using SinksByService = std::map<std::string, EnvelopeSinks>;

  ControlService(Kernel::Context Context, const NodeSettings &Settings,
                 std::function<SinksByService()> FindSinks)
      : Task(Context.ServiceTask), Settings(Settings),
        FindSinks(std::move(FindSinks)) {}

  void start();
  void handle(Message Content);
  void stop();

private:
  void onMessage(const SendEnvelope &Command);
  void onMessage(const ReplyEnvelope &Command);
  Wire::FrameSocket &outbound(const Routing::NodeAddress &Address);
  void deliver(OriginId Origin, std::string_view Bytes);

  Kernel::Task &Task;
  NodeSettings Settings;
  std::function<SinksByService()> FindSinks;
  SinksByService Targets;
  std::unique_ptr<Wire::FrameListener> Listener;
  std::unordered_map<Routing::NodeAddress, std::unique_ptr<Wire::FrameSocket>>
      Outbound;
  // Every open connection, inbound or outbound, by the origin to which replies
  // are sent.
  std::unordered_map<OriginId, Wire::FrameSocket *> ByOrigin;
  std::unordered_map<OriginId, std::unique_ptr<Wire::FrameSocket>> Inbound;
  OriginId NextOrigin = LocalOrigin + 1;
};

} // namespace Node
