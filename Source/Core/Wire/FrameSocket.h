#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Common/Time.h"
#include "Kernel/Task.h"
#include "Net/Listener.h"

namespace Wire {

constexpr std::size_t MaxFrameBytes = 8 << 20;

// One TCP connection between nodes: frames of four length bytes and content,
// in order, both ways.
class FrameSocket {
public:
  struct Events {
    // The view is valid during the call alone.
    std::function<void(std::string_view)> OnFrame;
    // Called once; the socket may be destroyed from it.
    std::function<void(std::string)> OnClosed;
    std::function<void()> OnConnected = [] {};
  };

  ~FrameSocket();
  FrameSocket(const FrameSocket &) = delete;
  FrameSocket &operator=(const FrameSocket &) = delete;

  // Begins to connect to "IP:port"; OnConnected or OnClosed tells the end.
  static std::unique_ptr<FrameSocket>
  connect(Kernel::Task &Home, const std::string &Where, Events Listener);

  // Frames sent before the connection is made wait for it.
  void send(std::string_view Content);
  bool isConnected() const;
  std::size_t unsentBytes() const;

private:
  friend class FrameListener;
  struct Impl;
  explicit FrameSocket(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Self;
};

// Takes connections from other nodes. The receiver wires each one up before
// any frame is read.
class FrameListener {
public:
  using Adopter =
      std::function<std::unique_ptr<FrameSocket>(FrameSocket::Events)>;
  using OnAccepted = std::function<void(const Adopter &)>;

  // Throws SystemCallFailed when the port cannot be had. 0 takes a free one.
  FrameListener(Kernel::Task &Home, const std::string &Address, int Port,
                OnAccepted Accepted);

  int port() const { return Socket.port(); }

private:
  Net::Listener Socket;
};

} // namespace Wire
