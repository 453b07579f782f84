#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Http/Message.h"
#include "Kernel/Task.h"

namespace Http {

// Identifies a request until its response is complete.
using ExchangeId = std::uint64_t;

// An HTTP server that runs on the event loop of a task, based on
// libmicrohttpd. Requests may be answered in any order.
class Server {
public:
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  int port() const;
  // The number of requests without a complete response.
  std::size_t openExchanges() const;
  // Ignores an id that is no longer open, because its caller has disconnected.
  void respond(ExchangeId Id, Response Reply);
  // Stops accepting connections. Open connections are still served.
  void stopListening();

private:
  friend class ServerBuilder;
  struct Impl;
  explicit Server(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Self;
};

class ServerBuilder {
public:
  explicit ServerBuilder(Kernel::Task &Task) : Task(Task) {}

  ServerBuilder &address(std::string Value);
  // 0 selects a free port.
  ServerBuilder &port(int Value);
  ServerBuilder &bodyLimit(std::size_t Bytes);
  ServerBuilder &idleTimeout(std::chrono::seconds Value);
  ServerBuilder &onRequest(std::function<void(ExchangeId, Request)> Value);

  // Throws LibraryFailed if the port is not available.
  std::unique_ptr<Server> build();

private:
  friend class Server;
  Kernel::Task &Task;
  std::string Address = "127.0.0.1";
  int Port = 0;
  std::size_t BodyLimit = 1 << 20;
  std::chrono::seconds IdleTimeout{120};
  std::function<void(ExchangeId, Request)> OnRequest;
};

} // namespace Http
