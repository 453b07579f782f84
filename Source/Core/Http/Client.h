#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/Time.h"
#include "Http/Message.h"
#include "Kernel/Task.h"

namespace Http {

using TransferId = std::uint64_t;

struct ClientRequest {
  std::string Method = "GET";
  std::string Url;
  Headers Fields;
  std::string Body;
  Common::Micros Timeout{5'000'000};
  // The local IP address to send from. If empty, the system selects it.
  std::string SourceAddress;
  // By default libcurl resends a request when a reused connection turns out to
  // be closed. This opens a new connection instead, for requests that must not
  // run twice.
  bool NeverResend = false;
  // Called whenever a part of the response body is received.
  std::function<void()> OnProgress = [] {};
};

struct ClientResult {
  // True if a complete response was received.
  bool Answered = false;
  // Whether any byte of the request may have reached the server.
  bool MayHaveRun = false;
  std::string Failure;
  Response Reply;
};

// An HTTP client that runs on the event loop of a task, based on libcurl.
class Client {
public:
  explicit Client(Kernel::Task &Task);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  // OnDone is called once, after send() has returned, unless the transfer is
  // cancelled.
  TransferId send(ClientRequest Request,
                  std::function<void(ClientResult)> OnDone);
  void cancel(TransferId Id);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace Http
