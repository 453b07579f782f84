#include <functional>
#include <optional>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Net/ByteStream.h"
#include "Net/Listener.h"
#include "UnitTests/RawSocket.h"

BOOST_AUTO_TEST_SUITE(ByteStreams)

namespace {

using Common::Millis;
using UnitTests::RawSocket;

// A stream whose peer is a raw socket.
struct Fixture {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Net::Listener> Listener;
  std::unique_ptr<Net::ByteStream> Stream;
  std::string Received;
  std::optional<Net::StreamEnd> End;
  std::unique_ptr<RawSocket> Peer;

  Fixture() {
    Worker.spawn();
    int Port = 0;
    Worker.runAndWait([&] {
      Listener = std::make_unique<Net::Listener>(
          Worker, "127.0.0.1", 0, [this](const Net::Listener::Adopter &Adopt) {
            Net::ByteStream::Events Handlers;
            Handlers.OnBytes = [this](std::string_view Bytes) {
              Received += Bytes;
            };
            Handlers.OnClosed = [this](Net::StreamEnd Ended,
                                       const std::string &) { End = Ended; };
            Stream = Adopt(std::move(Handlers));
          });
      Port = Listener->port();
    });
    Peer = std::make_unique<RawSocket>(Port);
    BOOST_REQUIRE(waitFor([this] { return Stream != nullptr; }));
  }
  ~Fixture() {
    Worker.runAndWait([this] {
      Stream.reset();
      Listener.reset();
    });
  }

  bool waitFor(const std::function<bool()> &Condition) {
    const auto Deadline = std::chrono::steady_clock::now() + Millis(5000);
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < Deadline) {
      Worker.runAndWait([&] { IsMet = Condition(); });
      std::this_thread::sleep_for(Millis(2));
    }
    return IsMet;
  }
};

constexpr std::size_t LargeBytes = 16 << 20;

} // namespace

// The peer has answered and closed while this side still writes.
BOOST_FIXTURE_TEST_CASE(FailedWriteDeliversWhatWasReceived, Fixture) {
  const std::string Answer(30 << 10, 'a');
  Worker.runAndWait([this] { Stream->write(std::string(LargeBytes, 'x')); });
  BOOST_REQUIRE(waitFor([this] { return Stream->unsentBytes() < LargeBytes; }));
  Worker.runAndWait([&] {
    Peer->send(Answer);
    std::this_thread::sleep_for(Millis(20));
    // Resets the connection, since the peer has read nothing.
    Peer->close();
    std::this_thread::sleep_for(Millis(20));
  });
  BOOST_REQUIRE(waitFor([this] { return End.has_value(); }));
  BOOST_TEST(Received.size() == Answer.size());
  BOOST_TEST((End == Net::StreamEnd::Broken));
}

BOOST_FIXTURE_TEST_CASE(WriteAfterAResetDeliversWhatWasReceived, Fixture) {
  Worker.runAndWait([this] { Stream->write("x"); });
  BOOST_REQUIRE(waitFor([this] { return Stream->unsentBytes() == 0; }));
  // The posted job runs just before the one that sends.
  Worker.runAndWait([this] {
    Worker.post([this] {
      Peer->send("answer");
      Peer->close();
      std::this_thread::sleep_for(Millis(20));
    });
    Stream->write("y");
  });
  BOOST_REQUIRE(waitFor([this] { return End.has_value(); }));
  BOOST_TEST(Received == "answer");
  BOOST_TEST((End == Net::StreamEnd::Broken));
}

// The peer sends no more, but still receives.
BOOST_FIXTURE_TEST_CASE(HalfClosedPeerReceivesTheRemainingBytes, Fixture) {
  Worker.runAndWait([this] {
    Stream->write(std::string(LargeBytes, 'x'));
    Stream->closeGracefully();
  });
  Peer->shutDownWriting();
  BOOST_TEST(Peer->readSlowly(4 << 20, Millis(10), Millis(5000)).size() ==
             LargeBytes);
  BOOST_TEST(!Peer->wasReset());
  BOOST_REQUIRE(waitFor([this] { return End.has_value(); }));
  BOOST_TEST((End == Net::StreamEnd::Finished));
}

// A service that stops sends its last bytes and destroys its streams at once.
BOOST_FIXTURE_TEST_CASE(DestroyedStreamSendsWhatWasWritten, Fixture) {
  Worker.runAndWait([this] {
    Stream->write("last");
    Stream.reset();
  });
  BOOST_TEST(Peer->readUntil("last") == "last");
  BOOST_TEST(Peer->isClosed());
  BOOST_TEST(!Peer->wasReset());
}

BOOST_AUTO_TEST_SUITE_END()
