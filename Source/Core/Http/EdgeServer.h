#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/Time.h"
#include "Http/Server.h"

namespace Http {

// Limits on the requests of callers and on the time that their connections may
// take to send the header section or stay idle.
struct EdgeLimits {
  std::size_t HeaderBytes = 16 << 10;
  std::size_t BodyBytes = 1 << 20;
  Common::Duration HeaderTimeout = Common::Millis(10'000);
  Common::Duration IdleTimeout = Common::Millis(60'000);
};

// How much a server holds for all its callers together. Beyond it, callers
// whose requests are incomplete are refused or closed, those that hold most and
// make no progress first.
struct EdgeCapacity {
  std::size_t BufferedBytes = 64 << 20;
  std::size_t Connections = 4096;
};

// The HTTP server for callers. Unlike Server, it passes the request target on
// unchanged, reports when a caller disconnects while its request is open, and
// rejects requests with ambiguous framing, which would allow request smuggling.
class EdgeServer {
public:
  ~EdgeServer();
  EdgeServer(const EdgeServer &) = delete;
  EdgeServer &operator=(const EdgeServer &) = delete;

  int port() const;
  std::size_t openExchanges() const;
  std::size_t bufferedBytes() const;
  // Ignores an id that is no longer open, because its caller has disconnected.
  void respond(ExchangeId Id, Response Reply);
  // Applies to requests that begin after the call.
  void useLimits(const EdgeLimits &Limits);
  // Closes each connection after its next response.
  void drainConnections();
  // Stops accepting connections, closes those that are idle and refuses the
  // requests that are incomplete.
  void stopListening();
  // Ends all connections: those that are idle now, the others after their open
  // requests. OnFinished is called once, from the event loop, when no request
  // is open, the kernel has taken all responses and the callers whose requests
  // were refused have had time to receive the refusal.
  void finish(std::function<void()> OnFinished);

private:
  friend class EdgeServerBuilder;
  struct Impl;
  explicit EdgeServer(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Self;
};

class EdgeServerBuilder {
public:
  explicit EdgeServerBuilder(Kernel::Task &Task) : Task(Task) {}

  EdgeServerBuilder &address(std::string Value);
  // 0 selects a free port.
  EdgeServerBuilder &port(int Value);
  EdgeServerBuilder &limits(const EdgeLimits &Value);
  EdgeServerBuilder &capacity(const EdgeCapacity &Value);
  EdgeServerBuilder &onRequest(std::function<void(ExchangeId, Request)> Value);
  // Called when a caller closes its connection before it has its response.
  EdgeServerBuilder &
  onCallerDisconnected(std::function<void(ExchangeId)> Value);

  // Throws SystemCallFailed if the port is not available.
  std::unique_ptr<EdgeServer> build();

private:
  friend class EdgeServer;
  Kernel::Task &Task;
  std::string Address = "127.0.0.1";
  int Port = 0;
  EdgeLimits Limits;
  EdgeCapacity Capacity;
  std::function<void(ExchangeId, Request)> OnRequest;
  std::function<void(ExchangeId)> OnCallerDisconnected = [](ExchangeId) {};
};

} // namespace Http
