#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "Common/Time.h"
#include "Http/EdgeMessages.h"
#include "Http/Server.h"
#include "Net/ByteStream.h"

namespace Http::Edge {

enum class Phase { Idle, Reading, Responding, Closing };

// A request that was passed on and whose response was not sent yet.
struct OpenExchange {
  ExchangeId Id = 0;
  bool KeepAlive = true;
  bool OmitBody = false;
  // Whether requests behind it may run before it is answered.
  bool MayOverlap = false;
  // The memory that the request takes, then its response.
  std::size_t HeldBytes = 0;
  // Set when the response waits for those of earlier requests.
  std::optional<Response> Ready;
};

struct Connection {
  std::unique_ptr<Net::ByteStream> Stream;
  Phase State = Phase::Idle;
  std::string Incoming;
  std::unique_ptr<EdgeParser> RequestParser;
  // Bytes of the request that is being read.
  std::int64_t RequestBytes = 0;
  // The memory that the request takes that is being read or held back, and the
  // part of its fields.
  std::size_t HeldBytes = 0;
  std::size_t FieldBytes = 0;
  // Set while requests are open and what comes behind them is discarded.
  bool Discarding = false;
  Common::SteadyTime LastReceived;
  // The request that was answered last; 0 if there was none.
  ExchangeId LastAnswered = 0;
  // In the order of the requests, which is that of the responses.
  std::deque<OpenExchange> Open;
  // A complete request that has to wait until the open ones are answered.
  std::optional<std::pair<OpenExchange, Request>> Held;
  // The status with which to reject the connection after the open requests are
  // answered.
  std::optional<int> PendingRejection;
  // Whether the connection closes while its caller may still be sending.
  bool Rejected = false;
  // When the current phase began.
  Common::SteadyTime PhaseStart;
  // What the caller had still to take of the responses when it was last
  // checked.
  std::size_t UnsentBytes = 0;
  // While the connection closes: what the caller has still to take, and when it
  // last took something.
  std::size_t UndeliveredBytes = 0;
  Common::SteadyTime LastTaken;
  bool ContinueSent = false;
};

} // namespace Http::Edge
