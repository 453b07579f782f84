#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/UniqueFd.h"
#include "UnitTests/RawSocket.h"
#include "Wire/FrameSocket.h"

BOOST_AUTO_TEST_SUITE(FrameSockets)

namespace {

// A listener on its own task that sends each received frame back.
struct EchoServer {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Wire::FrameListener> Listener;
  std::vector<std::unique_ptr<Wire::FrameSocket>> Accepted;
  std::promise<std::string> CloseReason;
  bool HasCloseReason = false;

  EchoServer() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Listener = std::make_unique<Wire::FrameListener>(
          Worker, "127.0.0.1", 0, [this](const auto &Adopt) {
            const std::size_t Index = Accepted.size();
            Wire::FrameSocket::Events Events;
            Events.OnFrame = [this, Index](std::string_view Bytes) {
              Accepted[Index]->send(Bytes);
            };
            Events.OnClosed = [this](const std::string &Reason) {
              if (!std::exchange(HasCloseReason, true))
                CloseReason.set_value(Reason);
            };
            Accepted.push_back(Adopt(std::move(Events)));
          });
    });
  }
  ~EchoServer() {
    Worker.runAndWait([this] {
      Accepted.clear();
      Listener.reset();
    });
  }
  std::string socketAddress() const {
    return "127.0.0.1:" + std::to_string(Listener->port());
  }
};

// Connects to Port, sends Bytes without framing and closes the connection.
void sendRaw(int Port, const std::string &Bytes) {
  const Common::UniqueFd Socket(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(::connect(Socket.value(),
                          reinterpret_cast<sockaddr *>(&Address),
                          sizeof Address) == 0);
  BOOST_REQUIRE(::write(Socket.value(), Bytes.data(), Bytes.size()) ==
                static_cast<ssize_t>(Bytes.size()));
}

} // namespace

BOOST_AUTO_TEST_CASE(CarriesFramesOfAllSizesInOrder) {
  EchoServer Server;
  std::vector<std::size_t> Sizes;
  std::promise<void> AllReceived;
  std::unique_ptr<Wire::FrameSocket> Client;
  const std::vector<std::size_t> ExpectedSizes = {0, 1,         70'000,
                                                  3, 2'000'000, 5};
  Server.Worker.runAndWait([&] {
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [&](std::string_view Bytes) {
      Sizes.push_back(Bytes.size());
      if (Sizes.size() == ExpectedSizes.size())
        AllReceived.set_value();
    };
    Events.OnClosed = [](const auto &) {};
    Client = Wire::FrameSocket::connect(Server.Worker, Server.socketAddress(),
                                        Events);
    for (const std::size_t Size : ExpectedSizes)
      Client->send(std::string(Size, 'x'));
  });
  AllReceived.get_future().wait();
  BOOST_TEST(Sizes == ExpectedSizes, boost::test_tools::per_element());
  Server.Worker.runAndWait([&] { Client.reset(); });
}

BOOST_AUTO_TEST_CASE(ClosesOnAnOversizedFrame) {
  EchoServer Server;
  sendRaw(Server.Listener->port(), "\xff\xff\xff\xff");
  BOOST_TEST(Server.CloseReason.get_future().get().rfind("704", 0) == 0);
}

BOOST_AUTO_TEST_CASE(ClosesOnATruncatedFrame) {
  EchoServer Server;
  sendRaw(Server.Listener->port(), std::string("\0\0\0\x09half", 8));
  BOOST_TEST(Server.CloseReason.get_future().get() == "closed by peer");
}

// The other node has sent its last replies and ended while this one still
// sends.
BOOST_AUTO_TEST_CASE(FailedWriteDeliversAllReceivedFrames) {
  Kernel::Task Worker("t");
  Worker.spawn();
  std::vector<std::string> Frames;
  std::promise<void> Closed;
  std::unique_ptr<Wire::FrameSocket> Accepted;
  std::unique_ptr<Wire::FrameListener> Listener;
  int Port = 0;
  Worker.runAndWait([&] {
    Listener = std::make_unique<Wire::FrameListener>(
        Worker, "127.0.0.1", 0, [&](const auto &Adopt) {
          Wire::FrameSocket::Events Events;
          Events.OnFrame = [&](std::string_view Bytes) {
            Frames.emplace_back(Bytes);
          };
          Events.OnClosed = [&](const std::string &) { Closed.set_value(); };
          Accepted = Adopt(std::move(Events));
        });
    Port = Listener->port();
  });
  UnitTests::RawSocket Peer(Port);
  bool IsAccepted = false;
  while (!IsAccepted)
    Worker.runAndWait([&] {
      if (Accepted)
        Accepted->send("x");
      IsAccepted = Accepted != nullptr;
    });
  Peer.readUntil("x");
  Worker.runAndWait([&] { Accepted->send("unread"); });
  std::this_thread::sleep_for(Common::Millis(20));
  // The posted job runs just before the one that sends.
  Worker.runAndWait([&] {
    Worker.post([&] {
      Peer.send(std::string("\0\0\0\1a\0\0\0\1b\0\0\0\1c", 15));
      Peer.close();
      std::this_thread::sleep_for(Common::Millis(20));
    });
    Accepted->send("y");
  });
  Closed.get_future().wait();
  BOOST_TEST(Frames == (std::vector<std::string>{"a", "b", "c"}),
             boost::test_tools::per_element());
  Worker.runAndWait([&] {
    Accepted.reset();
    Listener.reset();
  });
}

BOOST_AUTO_TEST_CASE(ReportsARefusedConnection) {
  Kernel::Task Worker("t");
  Worker.spawn();
  std::promise<std::string> CloseReason;
  std::unique_ptr<Wire::FrameSocket> Client;
  Worker.runAndWait([&] {
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [](std::string_view) {};
    Events.OnClosed = [&](const std::string &Reason) {
      CloseReason.set_value(Reason);
    };
    Client = Wire::FrameSocket::connect(Worker, "127.0.0.1:1", Events);
  });
  BOOST_TEST(CloseReason.get_future().get().rfind("connect", 0) == 0);
  Worker.runAndWait([&] { Client.reset(); });
}

BOOST_AUTO_TEST_SUITE_END()
