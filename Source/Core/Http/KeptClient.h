#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/Time.h"
#include "Http/Client.h"

namespace Http {

// A request to the one server that a KeptClient talks to.
struct KeptRequest {
  std::string Method;
  std::string Target;
  Headers Fields;
  std::string Body;
  Common::Micros Limit{0};
  // An answer belongs to this request only when this field of it, in lower
  // case, has the value that was sent; empty when answers aren't marked.
  std::string EchoedField;
  // Whether to send it again on a new connection when a kept one turns out to
  // be closed before the first byte of an answer.
  bool MayResend = false;
};

// Sends requests to one server at a time over connections that are kept, one
// request at a time on each. Bytes that belong to no request end their
// connection and reach nobody.
class KeptClient {
public:
  explicit KeptClient(Kernel::Task &Home);
  ~KeptClient();
  KeptClient(const KeptClient &) = delete;
  KeptClient &operator=(const KeptClient &) = delete;

  // "IP:port". Requests that run go on with the server they were sent to.
  void useServer(const std::string &Where);
  // OnDone is called once, later, unless the transfer is cancelled.
  TransferId send(KeptRequest Asked, std::function<void(ClientResult)> OnDone);
  // Closes the connection, so that the server can stop its work.
  void cancel(TransferId Transfer);

  std::uint64_t connectionsOpened() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace Http
