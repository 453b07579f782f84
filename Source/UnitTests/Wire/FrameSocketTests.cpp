#include <future>

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/UniqueFd.h"
#include "Wire/FrameSocket.h"

BOOST_AUTO_TEST_SUITE(FrameSockets)

namespace {

// A listener that answers each frame with the same one, and a task.
struct EchoListener {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Wire::FrameListener> Listener;
  std::vector<std::unique_ptr<Wire::FrameSocket>> Accepted;
  std::promise<std::string> Closed;
  bool ClosedSet = false;

  EchoListener() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Listener = std::make_unique<Wire::FrameListener>(
          Worker, "127.0.0.1", 0, [this](const auto &Adopt) {
            const std::size_t Index = Accepted.size();
            Wire::FrameSocket::Events Events;
            Events.OnFrame = [this, Index](std::string_view Bytes) {
              Accepted[Index]->send(Bytes);
            };
            Events.OnClosed = [this](const std::string &Why) {
              if (!std::exchange(ClosedSet, true))
                Closed.set_value(Why);
            };
            Accepted.push_back(Adopt(std::move(Events)));
          });
    });
  }
  ~EchoListener() {
    Worker.runAndWait([this] {
      Accepted.clear();
      Listener.reset();
    });
  }
  std::string where() const {
    return "127.0.0.1:" + std::to_string(Listener->port());
  }
};

// Sends raw bytes to the listener and closes.
void sendRaw(int Port, const std::string &Bytes) {
  const Common::UniqueFd Socket(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Where = {};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(static_cast<std::uint16_t>(Port));
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(::connect(Socket.value(), reinterpret_cast<sockaddr *>(&Where),
                          sizeof Where) == 0);
  BOOST_REQUIRE(::write(Socket.value(), Bytes.data(), Bytes.size()) ==
                static_cast<ssize_t>(Bytes.size()));
}

} // namespace

BOOST_AUTO_TEST_CASE(CarriesFramesOfAllSizesInOrder) {
  EchoListener Far;
  std::vector<std::size_t> Sizes;
  std::promise<void> All;
  std::unique_ptr<Wire::FrameSocket> Near;
  const std::vector<std::size_t> Wanted = {0, 1, 70'000, 3, 2'000'000, 5};
  Far.Worker.runAndWait([&] {
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [&](std::string_view Bytes) {
      Sizes.push_back(Bytes.size());
      if (Sizes.size() == Wanted.size())
        All.set_value();
    };
    Events.OnClosed = [](const auto &) {};
    Near = Wire::FrameSocket::connect(Far.Worker, Far.where(), Events);
    for (const std::size_t Size : Wanted)
      Near->send(std::string(Size, 'x'));
  });
  All.get_future().wait();
  BOOST_TEST(Sizes == Wanted, boost::test_tools::per_element());
  Far.Worker.runAndWait([&] { Near.reset(); });
}

BOOST_AUTO_TEST_CASE(ClosesOnAnOversizedFrame) {
  EchoListener Far;
  sendRaw(Far.Listener->port(), "\xff\xff\xff\xff");
  BOOST_TEST(Far.Closed.get_future().get().rfind("704", 0) == 0);
}

BOOST_AUTO_TEST_CASE(ClosesOnATruncatedFrame) {
  EchoListener Far;
  sendRaw(Far.Listener->port(), std::string("\0\0\0\x09half", 8));
  BOOST_TEST(Far.Closed.get_future().get() == "closed by peer");
}

BOOST_AUTO_TEST_CASE(TellsThatNobodyListens) {
  Kernel::Task Worker("t");
  Worker.spawn();
  std::promise<std::string> Closed;
  std::unique_ptr<Wire::FrameSocket> Near;
  Worker.runAndWait([&] {
    Wire::FrameSocket::Events Events;
    Events.OnFrame = [](std::string_view) {};
    Events.OnClosed = [&](const std::string &Why) { Closed.set_value(Why); };
    Near = Wire::FrameSocket::connect(Worker, "127.0.0.1:1", Events);
  });
  BOOST_TEST(Closed.get_future().get().rfind("connect", 0) == 0);
  Worker.runAndWait([&] { Near.reset(); });
}

BOOST_AUTO_TEST_SUITE_END()
