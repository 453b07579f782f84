#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Kernel/Task.h"
#include "Net/ByteStream.h"

namespace Net {

// Takes TCP connections. The receiver wires each one up before any byte is
// read.
class Listener {
public:
  using Adopter =
      std::function<std::unique_ptr<ByteStream>(ByteStream::Events)>;
  using OnAccepted = std::function<void(const Adopter &)>;

  // Throws SystemCallFailed when the port cannot be had. 0 takes a free one.
  Listener(Kernel::Task &Home, const std::string &Address, int Port,
           OnAccepted Accepted);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  int port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace Net
