#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Kernel/Task.h"
#include "Net/ByteStream.h"

namespace Net {

// Accepts TCP connections. OnAccepted sets the event handlers of each
// connection before any bytes are read from it.
class Listener {
public:
  // Turns the accepted connection into a stream with the given handlers.
  using Adopter =
      std::function<std::unique_ptr<ByteStream>(ByteStream::Events)>;
  using OnAccepted = std::function<void(const Adopter &)>;

  // Port 0 selects a free port. Throws SystemCallFailed if the port is not
  // available.
  Listener(Kernel::Task &Task, const std::string &Address, int Port,
           OnAccepted AcceptHandler);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  int port() const;
  // Accepts the connections that are waiting. Closing a listener resets them.
  void acceptWaiting();

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace Net
