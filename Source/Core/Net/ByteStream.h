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
  // The peer sent all it had and closed in order.
  Finished,
  // Reset, refused, timed out or closed by this end.
  Broken,
};

// One non-blocking TCP connection of a task.
class ByteStream {
public:
  struct Events {
    // The view is valid during the call alone.
    std::function<void(std::string_view)> OnBytes;
    // Called once, from the loop; the stream may be destroyed from it.
    std::function<void(StreamEnd, const std::string &)> OnClosed;
    std::function<void()> OnConnected = [] {};
  };

  ~ByteStream();
  ByteStream(const ByteStream &) = delete;
  ByteStream &operator=(const ByteStream &) = delete;

  // Begins to connect to "IP:port"; OnConnected or OnClosed tells the end.
  static std::unique_ptr<ByteStream>
  connect(Kernel::Task &Home, const std::string &Where, Events Wired);
  // Takes over an accepted connection.
  static std::unique_ptr<ByteStream>
  adopt(Kernel::Task &Home, ACE_SOCK_Stream &Accepted, Events Wired);

  // Bytes written before the connection is made wait for it. Those written in
  // one turn of the loop leave in one system call.
  void write(std::string_view Bytes);
  // Sends what is left and then closes in order. What still comes is dropped,
  // since closing over unread bytes would reset the answer on its way.
  void finish();
  // Closes at once; OnClosed follows with this reason.
  void abandon(const std::string &Why);
  void setReading(bool Wanted);

  bool isConnected() const;
  std::size_t unsentBytes() const;
  // The peer's IP number.
  std::string peerAddress() const;

private:
  struct Impl;
  explicit ByteStream(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Self;
};

} // namespace Net
