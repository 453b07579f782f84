#pragma once

#include <string>
#include <string_view>
#include <thread>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/Time.h"
#include "Common/UniqueFd.h"

namespace UnitTests {

// A blocking TCP socket on loopback, for input that no HTTP library would send.
class RawSocket {
public:
  // ReceiveBuffer limits how far the peer can send ahead; 0 keeps the default.
  explicit RawSocket(int Port, int ReceiveBuffer = 0)
      : Fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    if (ReceiveBuffer > 0)
      ::setsockopt(Fd.value(), SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                   sizeof ReceiveBuffer);
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Connected = ::connect(Fd.value(), reinterpret_cast<sockaddr *>(&Address),
                          sizeof Address) == 0;
  }

  bool isConnected() const { return Connected; }

  void send(std::string_view Bytes) const {
    while (!Bytes.empty()) {
      const ssize_t Count =
          ::send(Fd.value(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return;
      Bytes.remove_prefix(static_cast<std::size_t>(Count));
    }
  }

  // Reads until Text is received, the peer closes or Timeout has passed.
  // Returns all data received so far.
  std::string readUntil(std::string_view Text,
                        Common::Millis Timeout = Common::Millis(5000)) {
    const auto Deadline = std::chrono::steady_clock::now() + Timeout;
    while (Received.find(Text) == std::string::npos && readSome(Deadline)) {
    }
    return Received;
  }

  // Whether the peer closes the connection within Timeout.
  bool isClosed(Common::Millis Timeout = Common::Millis(5000)) {
    const auto Deadline = std::chrono::steady_clock::now() + Timeout;
    while (readSome(Deadline)) {
    }
    return Closed;
  }

  // Reads up to Bytes at intervals until the peer closes or Timeout has passed.
  // Returns all data received so far.
  const std::string &readSlowly(std::size_t Bytes, Common::Millis Interval,
                                Common::Millis Timeout) {
    const auto Deadline = std::chrono::steady_clock::now() + Timeout;
    while (!Closed && std::chrono::steady_clock::now() < Deadline) {
      std::this_thread::sleep_for(Interval);
      for (const std::size_t End = Received.size() + Bytes;
           Received.size() < End && readSome(Deadline);) {
      }
    }
    return Received;
  }

  bool wasReset() const { return Reset; }

  void shutDownWriting() const { ::shutdown(Fd.value(), SHUT_WR); }
  void close() { Fd.reset(); }

private:
  bool readSome(Common::SteadyTime Deadline) {
    const auto Left = std::chrono::duration_cast<Common::Millis>(
        Deadline - std::chrono::steady_clock::now());
    pollfd PollEntry = {Fd.value(), POLLIN, 0};
    if (Left.count() <= 0 ||
        ::poll(&PollEntry, 1, static_cast<int>(Left.count())) <= 0)
      return false;
    char Chunk[4096];
    const ssize_t Count = ::recv(Fd.value(), Chunk, sizeof Chunk, 0);
    if (Count <= 0) {
      Closed = true;
      Reset = Count < 0;
      return false;
    }
    Received.append(Chunk, static_cast<std::size_t>(Count));
    return true;
  }

  Common::UniqueFd Fd;
  bool Connected = false;
  bool Closed = false;
  bool Reset = false;
  std::string Received;
};

} // namespace UnitTests
