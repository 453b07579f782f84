#include <optional>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Http/EdgeServer.h"
#include "UnitTests/RawSocket.h"

BOOST_AUTO_TEST_SUITE(EdgeClosings)

namespace {

using Common::Millis;
using UnitTests::RawSocket;

constexpr std::size_t LargeBytes = 24 << 20;
constexpr int SmallBuffer = 64 << 10;

std::string request(const std::string &Path, const std::string &Fields = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

// Responds with a large body to /large, leaves /hold open, and answers
// everything else at once.
struct Fixture {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Http::EdgeServer> Server;
  std::vector<Http::ExchangeId> Held;
  int Finished = 0;
  int Port = 0;

  explicit Fixture(const Http::EdgeCapacity &Capacity = {}) {
    Worker.spawn();
    Worker.runAndWait([&] {
      Server =
          Http::EdgeServerBuilder(Worker)
              .capacity(Capacity)
              .onRequest([this](Http::ExchangeId Id, const Http::Request &Got) {
                if (Got.Path == "/hold")
                  Held.push_back(Id);
                else
                  Server->respond(Id, {200,
                                       {},
                                       Got.Path == "/large"
                                           ? std::string(LargeBytes, 'x')
                                           : "done " + Got.Path});
              })
              .build();
      Port = Server->port();
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] { Server.reset(); });
  }

  template <class Predicate>
  bool waitFor(const Predicate &Condition, Millis Timeout = Millis(5000)) {
    const auto Deadline = std::chrono::steady_clock::now() + Timeout;
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < Deadline) {
      Worker.runAndWait([&] { IsMet = Condition(); });
      std::this_thread::sleep_for(Millis(2));
    }
    return IsMet;
  }
};

} // namespace

// A caller that needs longer than the linger timeout to receive a response lost
// the rest of it.
BOOST_FIXTURE_TEST_CASE(SlowCallerReceivesTheWholeLastResponse, Fixture) {
  RawSocket Caller(Port, SmallBuffer);
  Caller.send(request("/large", "Connection: close\r\n"));
  const std::string &Read =
      Caller.readSlowly(1 << 20, Millis(150), Millis(15'000));
  BOOST_TEST(!Caller.wasReset());
  BOOST_TEST(Read.size() > LargeBytes);
}

BOOST_FIXTURE_TEST_CASE(CallerThatTakesNothingIsDisconnected, Fixture) {
  RawSocket Caller(Port, SmallBuffer);
  Caller.send(request("/large", "Connection: close\r\n"));
  BOOST_REQUIRE(waitFor([this] { return Server->bufferedBytes() > 0; }));
  BOOST_TEST(
      waitFor([this] { return Server->bufferedBytes() == 0; }, Millis(10'000)));
}

BOOST_FIXTURE_TEST_CASE(FinishWaitsForOpenRequestsAndUnsentBytes, Fixture) {
  RawSocket Slow(Port, SmallBuffer);
  Slow.send(request("/large"));
  RawSocket Open(Port);
  Open.send(request("/hold"));
  RawSocket Idle(Port);
  Idle.send(request("/1"));
  Idle.readUntil("done /1");
  BOOST_REQUIRE(waitFor([this] { return Held.size() == 1; }));
  Worker.runAndWait([this] { Server->finish([this] { ++Finished; }); });
  BOOST_TEST(Idle.isClosed());
  BOOST_TEST(!RawSocket(Port).isConnected());
  BOOST_TEST(Slow.readSlowly(4 << 20, Millis(10), Millis(5000)).size() >
             LargeBytes);
  BOOST_TEST(!waitFor([this] { return Finished > 0; }, Millis(400)));
  Worker.runAndWait([this] { Server->respond(Held[0], {200, {}, "held"}); });
  BOOST_TEST(Open.readUntil("held").find("connection: close") !=
             std::string::npos);
  BOOST_TEST(waitFor([this] { return Finished == 1; }));
}

// A task that is late finds whole requests in the kernel when it stops.
BOOST_FIXTURE_TEST_CASE(StopAnswersARequestThatWaitsInTheKernel, Fixture) {
  RawSocket Kept(Port);
  Kept.send(request("/1"));
  Kept.readUntil("done /1");
  Worker.runAndWait([&] {
    Kept.send(request("/2"));
    std::this_thread::sleep_for(Millis(20));
    Server->finish([this] { ++Finished; });
  });
  BOOST_TEST(Kept.readUntil("done /2").find("done /2") != std::string::npos);
  BOOST_TEST(Kept.isClosed());
  BOOST_TEST(waitFor([this] { return Finished == 1; }));
}

// Closing a listener resets the connections in its accept queue.
BOOST_FIXTURE_TEST_CASE(StopAnswersAConnectionThatWaitsToBeAccepted, Fixture) {
  std::optional<RawSocket> New;
  Worker.runAndWait([&] {
    New.emplace(Port);
    New->send(request("/1"));
    std::this_thread::sleep_for(Millis(20));
    Server->finish([this] { ++Finished; });
  });
  BOOST_TEST(New->readUntil("done /1").find("done /1") != std::string::npos);
  BOOST_TEST(New->isClosed());
  BOOST_TEST(waitFor([this] { return Finished == 1; }));
}

BOOST_FIXTURE_TEST_CASE(StopAnswersPipelinedRequestsThatWereReceived, Fixture) {
  RawSocket Caller(Port);
  Caller.send("POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" +
              request("/2") + request("/3"));
  BOOST_REQUIRE(waitFor([this] { return Held.size() == 1; }));
  Worker.runAndWait([this] {
    Server->drainConnections();
    Server->respond(Held[0], {200, {}, "held"});
    Server->finish([this] { ++Finished; });
  });
  const std::string Read = Caller.readUntil("done /3");
  BOOST_TEST(Read.find("done /2") != std::string::npos);
  BOOST_TEST(Read.find("done /3") != std::string::npos);
  BOOST_TEST(waitFor([this] { return Finished == 1; }));
}

// Both the request that is held back and the one behind it.
BOOST_FIXTURE_TEST_CASE(StopAnswersARequestHeldBehindAnOpenOne, Fixture) {
  RawSocket Caller(Port);
  Caller.send(request("/hold") +
              "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" +
              request("/3"));
  BOOST_REQUIRE(waitFor([this] { return Held.size() == 1; }));
  Worker.runAndWait([this] {
    Server->finish([this] { ++Finished; });
    Server->respond(Held[0], {200, {}, "held"});
  });
  const std::string Read = Caller.readUntil("done /3");
  BOOST_TEST(Read.find("done /2") != std::string::npos);
  BOOST_TEST(Read.find("done /3") != std::string::npos);
  BOOST_TEST(waitFor([this] { return Finished == 1; }));
}

// A reset would have destroyed the refusal.
BOOST_FIXTURE_TEST_CASE(StopRefusesAnUploadThatStillArrives, Fixture) {
  RawSocket Caller(Port);
  Caller.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
              "x");
  BOOST_REQUIRE(waitFor([this] { return Server->bufferedBytes() > 0; }));
  Worker.runAndWait([this] {
    Server->finish([this] {
      ++Finished;
      Server.reset();
    });
  });
  const std::string Part(30'000, 'x');
  for (int Count = 0; Count < 20; ++Count) {
    std::this_thread::sleep_for(Millis(20));
    Caller.send(Part);
  }
  BOOST_TEST(Caller.readUntil("\r\n\r\n").rfind("HTTP/1.1 503", 0) == 0);
  BOOST_TEST(Caller.isClosed());
  BOOST_TEST(!Caller.wasReset());
  Caller.close();
  BOOST_TEST(waitFor([this] { return Finished == 1; }, Millis(1000)));
}

// The process ends while the kernel still sends a response, and the caller has
// sent more.
BOOST_FIXTURE_TEST_CASE(UnreadBytesDoNotResetAResponseOnItsWay, Fixture) {
  constexpr std::size_t Bytes = 400 << 10;
  RawSocket Caller(Port, SmallBuffer);
  Caller.send(request("/hold"));
  BOOST_REQUIRE(waitFor([this] { return Held.size() == 1; }));
  Worker.runAndWait([&] {
    Server->respond(Held[0], {200, {}, std::string(Bytes, 'x')});
  });
  std::this_thread::sleep_for(Millis(50));
  Worker.runAndWait([&] {
    Caller.send(std::string(100 << 10, ' '));
    std::this_thread::sleep_for(Millis(20));
    Server.reset();
  });
  BOOST_TEST(Caller.readSlowly(64 << 10, Millis(5), Millis(5000)).size() >
             Bytes);
  BOOST_TEST(!Caller.wasReset());
}

namespace {

struct CrowdedFixture : Fixture {
  CrowdedFixture() : Fixture({.Connections = 3}) {}
};

} // namespace

// A new caller must not take the place of one that still receives a response.
BOOST_FIXTURE_TEST_CASE(IdleConnectionGivesWayBeforeAResponse, CrowdedFixture) {
  RawSocket Slow(Port, SmallBuffer);
  Slow.send(request("/large", "Connection: close\r\n"));
  RawSocket SlowAndKept(Port, SmallBuffer);
  SlowAndKept.send(request("/large"));
  BOOST_REQUIRE(
      waitFor([this] { return Server->bufferedBytes() > LargeBytes; }));
  RawSocket Idle(Port);
  Idle.send(request("/1"));
  Idle.readUntil("done /1");
  RawSocket New(Port);
  New.send(request("/2"));
  BOOST_TEST(New.readUntil("done /2").find("done /2") != std::string::npos);
  BOOST_TEST(Idle.isClosed());
  BOOST_TEST(Slow.readSlowly(4 << 20, Millis(1), Millis(2000)).size() >
             LargeBytes);
  BOOST_TEST(SlowAndKept.readSlowly(4 << 20, Millis(1), Millis(2000)).size() >
             LargeBytes);
}

namespace {

struct SmallFixture : Fixture {
  SmallFixture() : Fixture({.BufferedBytes = 64 << 10}) {}
};

} // namespace

// A request that was read whole was dropped without a response when there was
// no memory for those behind it.
BOOST_FIXTURE_TEST_CASE(RequestThatIsDiscardedGetsAResponse, SmallFixture) {
  RawSocket Caller(Port);
  Caller.send(request("/hold") +
              "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(waitFor([this] { return Held.size() == 1; }));
  std::string Behind;
  while (Behind.size() < 100 << 10)
    Behind += request("/3");
  Caller.send(Behind);
  std::this_thread::sleep_for(Millis(50));
  Worker.runAndWait([this] { Server->respond(Held[0], {200, {}, "held"}); });
  const std::string Read = Caller.readUntil("HTTP/1.1 503");
  BOOST_TEST(Read.find("held") < Read.find("HTTP/1.1 503"));
  BOOST_TEST(Read.find("HTTP/1.1 503") != std::string::npos);
  BOOST_TEST(Read.find("done") == std::string::npos);
  BOOST_TEST(Caller.isClosed());
}

BOOST_AUTO_TEST_SUITE_END()
