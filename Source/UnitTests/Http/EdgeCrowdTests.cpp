#include <deque>
#include <functional>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Http/EdgeServer.h"
#include "UnitTests/RawSocket.h"

BOOST_AUTO_TEST_SUITE(EdgeCrowds)

namespace {

using Common::Millis;
using UnitTests::RawSocket;

// A server that holds at most 1 MiB for its callers and accepts four of them.
struct Fixture {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Http::EdgeServer> Server;
  int Port = 0;

  Fixture() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Http::EdgeLimits Limits;
      Limits.HeaderTimeout = Millis(5000);
      Limits.IdleTimeout = Millis(2000);
      Server =
          Http::EdgeServerBuilder(Worker)
              .limits(Limits)
              .capacity({.BufferedBytes = 1 << 20, .Connections = 4})
              .onRequest([this](Http::ExchangeId Id, const Http::Request &) {
                Server->respond(Id, {200, {}, "done"});
              })
              .build();
      Port = Server->port();
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] { Server.reset(); });
  }

  // Waits until the server has begun to read a request.
  bool isReading() {
    const auto Deadline = std::chrono::steady_clock::now() + Millis(5000);
    while (bufferedBytes() == 0 && std::chrono::steady_clock::now() < Deadline)
      std::this_thread::sleep_for(Millis(2));
    return bufferedBytes() > 0;
  }

  std::size_t bufferedBytes() {
    std::size_t Bytes = 0;
    Worker.runAndWait([&] { Bytes = Server->bufferedBytes(); });
    return Bytes;
  }
};

std::string headOf(std::size_t BodyBytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(BodyBytes) + "\r\n\r\n";
}

constexpr std::size_t LargeBytes = 300 << 10;

} // namespace

BOOST_FIXTURE_TEST_CASE(RefusesABodyThatDoesNotFitBesideOthers, Fixture) {
  RawSocket First(Port);
  First.send(headOf(LargeBytes) + std::string(LargeBytes - 1, 'x'));
  BOOST_REQUIRE(isReading());
  RawSocket Second(Port);
  Second.send(headOf(LargeBytes));
  const std::string Refusal = Second.readUntil("\r\n\r\n");
  BOOST_TEST(Refusal.rfind("HTTP/1.1 503", 0) == 0);
  BOOST_TEST(Refusal.find("retry-after: 1") != std::string::npos);
  BOOST_TEST(Second.isClosed());
  First.send("x");
  BOOST_TEST(First.readUntil("done").rfind("HTTP/1.1 200", 0) == 0);
  BOOST_TEST(bufferedBytes() < LargeBytes);
}

BOOST_FIXTURE_TEST_CASE(StalledBodyGivesWayToALargeOne, Fixture) {
  RawSocket Stalled(Port);
  Stalled.send(headOf(LargeBytes) + std::string(LargeBytes - 1, 'x'));
  BOOST_REQUIRE(isReading());
  std::this_thread::sleep_for(Millis(1300));
  RawSocket Next(Port);
  Next.send(headOf(LargeBytes) + std::string(LargeBytes, 'x'));
  BOOST_TEST(Next.readUntil("done").rfind("HTTP/1.1 200", 0) == 0);
  BOOST_TEST(Stalled.readUntil("\r\n\r\n").rfind("HTTP/1.1 503", 0) == 0);
}

BOOST_FIXTURE_TEST_CASE(LargeBodyGivesWayToAnOrdinaryRequest, Fixture) {
  RawSocket Large(Port);
  Large.send(headOf(500 << 10) + "x");
  BOOST_REQUIRE(isReading());
  RawSocket Ordinary(Port);
  Ordinary.send(headOf(20 << 10) + std::string(20 << 10, 'x'));
  BOOST_TEST(Ordinary.readUntil("done").rfind("HTTP/1.1 200", 0) == 0);
  BOOST_TEST(Large.readUntil("\r\n\r\n").rfind("HTTP/1.1 503", 0) == 0);
}

BOOST_FIXTURE_TEST_CASE(BodyWithoutProgressIsRefusedAfterTheIdleTimeout,
                        Fixture) {
  RawSocket Peer(Port);
  Peer.send(headOf(LargeBytes) + std::string(LargeBytes - 1, 'x'));
  BOOST_TEST(Peer.readUntil("\r\n\r\n").rfind("HTTP/1.1 408", 0) == 0);
  BOOST_TEST(bufferedBytes() < LargeBytes);
}

BOOST_FIXTURE_TEST_CASE(ManyHeaderLinesCountWithTheirMemory, Fixture) {
  std::string Lines;
  while (Lines.size() < 15'000)
    Lines += "a:\r\n";
  const std::string Head =
      "POST / HTTP/1.1\r\nHost: h\r\n" + Lines + "Content-Length: 10\r\n\r\n";
  RawSocket Peer(Port);
  Peer.send(Head);
  BOOST_TEST(Peer.readUntil("\r\n\r\n").rfind("HTTP/1.1 503", 0) == 0);
}

BOOST_FIXTURE_TEST_CASE(ClosesTheLongestIdleConnectionForANewOne, Fixture) {
  std::deque<RawSocket> Peers;
  for (int Count = 0; Count < 4; ++Count) {
    Peers.emplace_back(Port);
    Peers.back().send(headOf(0));
    Peers.back().readUntil("done");
  }
  Peers.emplace_back(Port);
  Peers.back().send(headOf(0));
  BOOST_TEST(Peers.back().readUntil("done").find("200") != std::string::npos);
  BOOST_TEST(Peers.front().isClosed());
  BOOST_TEST(!Peers[1].isClosed(Millis(50)));
}

BOOST_AUTO_TEST_SUITE_END()
