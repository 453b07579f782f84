#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Http/Message.h"
#include "Kernel/Task.h"

namespace Http {

// Names one request until it is answered.
using ExchangeId = std::uint64_t;

// An HTTP server on a task. Requests are answered in any order, each to the
// connection it came from.
class Server {
public:
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  int port() const;
  // Requests that were taken and not yet answered.
  std::size_t openExchanges() const;
  // An id that is no longer open is ignored: its caller is gone.
  void answer(ExchangeId Exchange, Response Reply);
  // Stops taking new connections; those that are open go on.
  void stopListening();

private:
  friend class ServerBuilder;
  struct Impl;
  explicit Server(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Self;
};

class ServerBuilder {
public:
  explicit ServerBuilder(Kernel::Task &Home) : Home(Home) {}

  ServerBuilder &address(std::string Value);
  // 0 takes a free port.
  ServerBuilder &port(int Value);
  ServerBuilder &bodyLimit(std::size_t Bytes);
  ServerBuilder &idleLimit(std::chrono::seconds Value);
  ServerBuilder &onRequest(std::function<void(ExchangeId, Request)> Value);

  // Throws LibraryFailed when the port cannot be had.
  std::unique_ptr<Server> build();

private:
  friend class Server;
  Kernel::Task &Home;
  std::string Address = "127.0.0.1";
  int Port = 0;
  std::size_t BodyLimit = 1 << 20;
  std::chrono::seconds IdleLimit{120};
  std::function<void(ExchangeId, Request)> OnRequest;
};

} // namespace Http
