#pragma once

#include <memory>
#include <string>

#include "Common/Time.h"
#include "Http/EdgeMessages.h"
#include "Http/Server.h"
#include "Net/ByteStream.h"

namespace Http::Edge {

enum class Phase { Idle, Reading, Responding, Closing };

struct Connection {
  std::unique_ptr<Net::ByteStream> Stream;
  Phase State = Phase::Idle;
  std::string Incoming;
  std::unique_ptr<EdgeParser> RequestParser;
  // Bytes of the request that is being read.
  std::int64_t RequestBytes = 0;
  // The memory that the current request takes, and the part of its fields.
  std::size_t HeldBytes = 0;
  std::size_t FieldBytes = 0;
  // Set while a request is open and its pipelined successors are discarded.
  bool Discarding = false;
  Common::SteadyTime LastReceived;
  ExchangeId Exchange = 0;
  // When the current phase began.
  Common::SteadyTime PhaseStart;
  bool KeepAlive = true;
  bool OmitBody = false;
  bool ContinueSent = false;
};

} // namespace Http::Edge
