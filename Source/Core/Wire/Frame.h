#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "Routing/Call.h"

namespace Wire {

constexpr std::int32_t ProtocolLevel = 1;

// The first frame on a connection, from both ends.
struct Hello {
  std::string Node;
  std::string DataCentre;
  std::int32_t Level = ProtocolLevel;
};

struct CancelCall {
  Routing::AttemptId Attempt = 0;
};

// Shows that the other end still answers on this very connection.
struct Echo {
  std::int64_t Sequence = 0;
  bool IsAnswer = false;
};

// A message for the service of that name on the other node.
struct Envelope {
  std::string Service;
  std::string Content;
};

// The load of the backend server beside the sender, told between answers.
struct LoadReport {
  std::string Server;
  Routing::ServerLoad Load;
};

using Frame = std::variant<Hello, Routing::CallRequest, Routing::CallReply,
                           CancelCall, Echo, Envelope, LoadReport>;

} // namespace Wire
