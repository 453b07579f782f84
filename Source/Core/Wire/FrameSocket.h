#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Common/Time.h"
#include "Kernel/Task.h"
#include "Net/Listener.h"

namespace Wire {

constexpr std::size_t MaxFrameBytes = 8 << 20;
// The largest body that a frame carries; the rest is for the header fields and
// what is sent with them.
constexpr std::size_t MaxFrameBodyBytes = MaxFrameBytes - (1 << 20);

// A TCP connection between two nodes that carries frames in both directions.
// Each frame is a four-byte big-endian length followed by the content.
class FrameSocket {
public:
  struct Events {
    // The view is valid only during the call.
    std::function<void(std::string_view)> OnFrame;
    // Called once, with the reason. May destroy the socket.
    std::function<void(std::string)> OnClosed;
    std::function<void()> OnConnected = [] {};
  };

  ~FrameSocket();
  FrameSocket(const FrameSocket &) = delete;
  FrameSocket &operator=(const FrameSocket &) = delete;

  // Starts connecting to "IP:port". OnConnected or OnClosed reports the
  // outcome.
  static std::unique_ptr<FrameSocket> connect(Kernel::Task &Owner,
                                              const std::string &SocketAddress,
                                              Events Handlers);

  // Queues frames until the connection is established.
  void send(std::string_view Content);
  // Takes a large frame over instead of copying it.
  void sendOwned(std::string Content);
  // Sends the remaining frames and then shuts the connection down in order.
  // Frames that are received later are discarded.
  void closeGracefully();
  // Hands to the kernel what it takes at once.
  void flush();
  // Delivers the frames that have arrived without waiting for the event loop.
  void readArrived();
  bool isConnected() const;
  std::size_t unsentBytes() const;
  // All bytes of the frames that were queued, and those of them that were
  // handed to the kernel. A frame that begins at or after sentBytes() was not
  // sent, and is not sent any more once the connection is closed.
  std::uint64_t queuedBytes() const;
  std::uint64_t sentBytes() const;

private:
  friend class FrameListener;
  struct Impl;
  explicit FrameSocket(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Self;
};

// Accepts connections from other nodes. The OnAccepted callback has to call the
// Adopter with its event handlers before any frame is read.
class FrameListener {
public:
  using Adopter =
      std::function<std::unique_ptr<FrameSocket>(FrameSocket::Events)>;
  using OnAccepted = std::function<void(const Adopter &)>;

  // Throws SystemCallFailed if the port cannot be bound. Port 0 selects a free
  // port.
  FrameListener(Kernel::Task &Owner, const std::string &Address, int Port,
                OnAccepted Handler);

  int port() const { return Socket.port(); }
  // Accepts the connections that are waiting. Closing a listener resets them.
  void acceptWaiting() { Socket.acceptWaiting(); }

private:
  Net::Listener Socket;
};

} // namespace Wire
