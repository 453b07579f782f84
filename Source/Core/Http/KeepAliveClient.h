#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/Time.h"
#include "Http/Client.h"

namespace Http {

// A request to the one server that a KeepAliveClient talks to.
struct KeepAliveRequest {
  std::string Method;
  std::string Target;
  Headers Fields;
  std::string Body;
  Common::Micros Limit{0};
  // An answer belongs to this request only when this field of it, in lower
  // case, has the value that was sent; empty when answers aren't marked.
  std::string EchoedField;
};

// Bounds of what a server may answer; bytes may come without end. A request
// whose answer is over one fails, and its connection is closed.
struct AnswerLimits {
  // Status line and fields; a line of a chunk or a trailer as well.
  std::size_t HeadBytes = 64 << 10;
  std::size_t BodyBytes = 7 << 20;
  // Of all answers under way; a small VM has under 90 MB in all.
  std::size_t HeldBytes = 24 << 20;
};

// Sends requests to one server at a time over connections that are kept, one
// request at a time on each. Bytes that belong to no request end their
// connection and reach nobody. Nothing is sent twice: who asked decides about
// another try, and has the budget for it.
class KeepAliveClient {
public:
  explicit KeepAliveClient(Kernel::Task &Home, const AnswerLimits &Limits = {});
  ~KeepAliveClient();
  KeepAliveClient(const KeepAliveClient &) = delete;
  KeepAliveClient &operator=(const KeepAliveClient &) = delete;

  // "IP:port". Requests that run go on with the server they were sent to.
  void useServer(const std::string &Where);
  // OnDone is called once, later, unless the transfer is cancelled.
  TransferId send(KeepAliveRequest Asked,
                  std::function<void(ClientResult)> OnDone);
  // Closes the connection, so that the server can stop its work.
  void cancel(TransferId Transfer);

  std::uint64_t connectionsOpened() const;
  // Bytes of answers that are not complete yet.
  std::size_t heldBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace Http
