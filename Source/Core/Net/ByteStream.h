#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Kernel/Task.h"

class ACE_SOCK_Stream;

namespace Net {

// How a connection ended.
enum class StreamEnd {
  // The peer sent all its data and closed the connection in order.
  Finished,
  // The connection was never established, so the peer received nothing.
  NotConnected,
  // The established connection was reset, timed out or closed by this side.
  Broken,
};

// A non-blocking TCP connection on the event loop of a task.
class ByteStream {
public:
  struct Events {
    // The view is valid only during the call.
    std::function<void(std::string_view)> OnBytes;
    // Called once, from the event loop. It may destroy the stream.
    std::function<void(StreamEnd, const std::string &)> OnClosed;
    std::function<void()> OnConnected = [] {};
    // Called from the event loop whenever the kernel has taken all bytes
    // written so far.
    std::function<void()> OnAllSent = [] {};
  };

  // Sends what the kernel still takes of the bytes written, and closes the
  // connection in order. closeNow() before it discards them.
  ~ByteStream();
  ByteStream(const ByteStream &) = delete;
  ByteStream &operator=(const ByteStream &) = delete;

  // Starts to connect to "IP:port". OnConnected or OnClosed reports the result.
  static std::unique_ptr<ByteStream>
  connect(Kernel::Task &Task, const std::string &Address, Events Handlers);
  // Takes over an accepted connection.
  static std::unique_ptr<ByteStream>
  adopt(Kernel::Task &Task, ACE_SOCK_Stream &Accepted, Events Handlers);

  // Bytes written before the connection is established are sent afterwards. All
  // bytes written in one iteration of the event loop are sent with one system
  // call.
  void write(std::string_view Bytes);
  // Takes the bytes over instead of copying them, unless a few follow others.
  void writeOwned(std::string Bytes);
  // Hands to the kernel what it takes at once, before the event loop would.
  void flush();
  // Sends the remaining bytes and then shuts the connection down in order.
  // Received bytes are read and discarded, because closing a socket with unread
  // bytes resets the connection, which can discard a response on its way.
  void closeGracefully();
  // Closes immediately. OnClosed is called later with this reason.
  void closeNow(const std::string &Reason);
  void setReading(bool Enabled);
  // Delivers what has arrived without waiting for the event loop.
  void readArrived();

  // False from a failed write on, although bytes that were received before may
  // still be delivered.
  bool isConnected() const;
  std::size_t unsentBytes() const;
  // The memory that the unsent bytes take up.
  std::size_t allocatedBytes() const;
  // The unsent bytes, and those that the kernel has still to deliver.
  std::size_t undeliveredBytes() const;
  // The received bytes that the kernel still holds.
  std::size_t unreadBytes() const;
  // Whether the connection is established and neither bytes nor a close of the
  // peer wait to be read.
  bool isQuiet() const;
  // The IP address of the peer.
  std::string peerAddress() const;

private:
  struct Impl;
  explicit ByteStream(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Self;
};

} // namespace Net
