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
  Common::Micros Limit{5'000'000};
  // The own IP address to send from; empty leaves it to the system.
  std::string SourceAddress;
  // The library sends a request again by itself when a kept connection turns
  // out to be dead. A request that must not run twice needs a new connection.
  bool NeverResend = false;
  // Called whenever a part of the body came.
  std::function<void()> OnProgress = [] {};
};

struct ClientResult {
  // False when no whole answer came.
  bool Answered = false;
  // Whether a byte of the request can have reached the server.
  bool MayHaveRun = false;
  std::string Failure;
  Response Reply;
};

// Sends HTTP requests from a task.
class Client {
public:
  explicit Client(Kernel::Task &Home);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  // OnDone is called once, later, unless the transfer is cancelled.
  TransferId send(ClientRequest Asked,
                  std::function<void(ClientResult)> OnDone);
  void cancel(TransferId Transfer);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace Http
