#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/SharedText.h"
#include "Common/Time.h"
#include "Http/Client.h"

namespace Http {

// A request to the server that a KeepAliveClient is connected to.
struct KeepAliveRequest {
  std::string Method;
  std::string Target;
  Headers Fields;
  Common::SharedText Body;
  Common::Micros Timeout{0};
  // Name of a field, in lower case, that the server echoes. A response is
  // accepted for this request only if it carries the value that was sent.
  // Empty if the server doesn't mark its responses.
  std::string EchoedField;
};

// Limits on the size of responses, because a server may send bytes without
// end. A request whose response exceeds a limit fails, and its connection is
// closed.
struct ResponseLimits {
  // For the status line with the header fields, and for a single line of a
  // chunk or trailer.
  std::size_t HeaderBytes = 64 << 10;
  std::size_t BodyBytes = 7 << 20;
  // For all incomplete responses together. A small VM has less than 90 MB of
  // memory in total.
  std::size_t BufferedBytes = 24 << 20;
};

// Sends requests to one server at a time over persistent connections, without
// pipelining. A connection that receives bytes which belong to no request is
// closed, and the bytes are discarded. No request is ever resent: retries are
// left to the caller, which holds the retry budget.
class KeepAliveClient {
public:
  explicit KeepAliveClient(Kernel::Task &Task,
                           const ResponseLimits &Limits = {});
  ~KeepAliveClient();
  KeepAliveClient(const KeepAliveClient &) = delete;
  KeepAliveClient &operator=(const KeepAliveClient &) = delete;

  // Address is "IP:port". Requests in progress stay with the server that they
  // were sent to.
  void useServer(const std::string &Address);
  // OnDone is called once, after send() has returned, unless the transfer is
  // cancelled.
  TransferId send(KeepAliveRequest Request,
                  std::function<void(ClientResult)> OnDone);
  // Closes the connection, so that the server can stop working on the request.
  void cancel(TransferId Id);

  std::uint64_t connectionsOpened() const;
  // Bytes of all responses that are not complete yet.
  std::size_t bufferedBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace Http
