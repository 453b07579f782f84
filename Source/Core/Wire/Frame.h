#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "Routing/Call.h"

namespace Wire {

constexpr std::int32_t ProtocolLevel = 1;

// The first frame that each side sends on a connection.
struct Hello {
  std::string Node;
  std::string DataCentre;
  std::int32_t Level = ProtocolLevel;
};

// Cancels an attempt whose reply the caller side no longer needs.
struct CancelCall {
  Routing::AttemptId Attempt = 0;
};

// A heartbeat that checks whether the peer still answers on this connection.
struct Echo {
  std::int64_t Sequence = 0;
  bool IsAnswer = false;
};

// A message for the named service on the other node.
struct Envelope {
  std::string Service;
  std::string Content;
};

// The load of the backend server of the sending node, sent between replies.
struct LoadReport {
  std::string Server;
  Routing::ServerLoad Load;
};

using Frame = std::variant<Hello, Routing::CallRequest, Routing::CallReply,
                           CancelCall, Echo, Envelope, LoadReport>;

} // namespace Wire
