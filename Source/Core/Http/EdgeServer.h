#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/Time.h"
#include "Http/Server.h"

namespace Http {

// What callers may send, and how long they may take or stay idle.
struct EdgeLimits {
  std::size_t HeaderBytes = 16 << 10;
  std::size_t BodyBytes = 1 << 20;
  Common::Duration HeaderTime = Common::Millis(10'000);
  Common::Duration IdleTime = Common::Millis(60'000);
};

// The HTTP server for callers. Unlike Server it gives the target as it was
// sent, tells when a caller goes away while its request is open, and refuses
// requests whose framing could be read in two ways.
class EdgeServer {
public:
  ~EdgeServer();
  EdgeServer(const EdgeServer &) = delete;
  EdgeServer &operator=(const EdgeServer &) = delete;

  int port() const;
  std::size_t openExchanges() const;
  // An id that is no longer open is ignored: its caller is gone.
  void answer(ExchangeId Exchange, const Response &Reply);
  // Holds for requests that begin later.
  void useLimits(const EdgeLimits &Limits);
  // From now on every answer is the last one of its connection.
  void retireConnections();
  void stopListening();

private:
  friend class EdgeServerBuilder;
  struct Impl;
  explicit EdgeServer(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Self;
};

class EdgeServerBuilder {
public:
  explicit EdgeServerBuilder(Kernel::Task &Home) : Home(Home) {}

  EdgeServerBuilder &address(std::string Value);
  // 0 takes a free port.
  EdgeServerBuilder &port(int Value);
  EdgeServerBuilder &limits(const EdgeLimits &Value);
  EdgeServerBuilder &onRequest(std::function<void(ExchangeId, Request)> Value);
  // The caller closed its connection before it had its answer.
  EdgeServerBuilder &onCallerGone(std::function<void(ExchangeId)> Value);

  // Throws SystemCallFailed when the port cannot be had.
  std::unique_ptr<EdgeServer> build();

private:
  friend class EdgeServer;
  Kernel::Task &Home;
  std::string Address = "127.0.0.1";
  int Port = 0;
  EdgeLimits Limits;
  std::function<void(ExchangeId, Request)> OnRequest;
  std::function<void(ExchangeId)> OnCallerGone = [](ExchangeId) {};
};

} // namespace Http
