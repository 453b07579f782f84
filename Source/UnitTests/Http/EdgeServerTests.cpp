#include <functional>
#include <random>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Http/EdgeServer.h"
#include "UnitTests/RawSocket.h"

BOOST_AUTO_TEST_SUITE(EdgeServers)

namespace {

using Common::Millis;
using UnitTests::RawSocket;

// Answers each request at once, or holds it when its path starts with /hold.
struct Fixture {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Http::EdgeServer> Server;
  std::vector<Http::Request> Taken;
  std::vector<Http::ExchangeId> Held;
  std::vector<Http::ExchangeId> Gone;
  int Port = 0;

  Fixture() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Http::EdgeLimits Limits;
      Limits.HeaderBytes = 2048;
      Limits.BodyBytes = 4096;
      Limits.HeaderTime = Millis(300);
      Limits.IdleTime = Millis(2000);
      Server =
          Http::EdgeServerBuilder(Worker)
              .limits(Limits)
              .onRequest([this](Http::ExchangeId Id, Http::Request Asked) {
                take(Id, std::move(Asked));
              })
              .onCallerGone([this](Http::ExchangeId Id) { Gone.push_back(Id); })
              .build();
      Port = Server->port();
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] { Server.reset(); });
  }

  void take(Http::ExchangeId Id, Http::Request Asked) {
    const bool Hold = Asked.Path.rfind("/hold", 0) == 0;
    Http::Response Reply;
    Reply.Body = Asked.Method + " " + Asked.Target + " " + Asked.Body;
    Taken.push_back(std::move(Asked));
    if (Hold)
      Held.push_back(Id);
    else
      Server->answer(Id, Reply);
  }

  bool waitFor(const std::function<bool()> &Happened,
               Millis Limit = Millis(5000)) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    bool Seen = false;
    while (!Seen && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { Seen = Happened(); });
      std::this_thread::sleep_for(Millis(2));
    }
    return Seen;
  }
  std::size_t taken() {
    std::size_t Count = 0;
    Worker.runAndWait([&] { Count = Taken.size(); });
    return Count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(GivesTheTargetAsItWasSent, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /a%2Fb/../c?x=%20&y HTTP/1.1\r\nHost: h\r\n\r\n");
  Caller.readUntil("GET /a%2Fb/../c?x=%20&y ");
  BOOST_REQUIRE_EQUAL(taken(), 1U);
  BOOST_TEST(Taken[0].Target == "/a%2Fb/../c?x=%20&y");
  BOOST_TEST(Taken[0].Path == "/a%2Fb/../c");
}

BOOST_FIXTURE_TEST_CASE(TellsWhenTheCallerGoesAwayWhileItsRequestIsOpen,
                        Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(waitFor([this] { return Held.size() == 1; }));
  Caller.close();
  BOOST_TEST(waitFor([this] { return Gone == Held; }, Millis(400)));
}

BOOST_FIXTURE_TEST_CASE(ServesRequestsThatWereSentAheadInOrder, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
              "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n3\r\nabc\r\n0\r\n\r\n"
              "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string Read = Caller.readUntil("GET /3 ");
  BOOST_TEST(Read.find("GET /1 ") < Read.find("POST /2 abc"));
  BOOST_TEST(Read.find("POST /2 abc") < Read.find("GET /3 "));
}

BOOST_FIXTURE_TEST_CASE(KeepsToItsLimits, Fixture) {
  RawSocket Fields(Port);
  Fields.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(4000, 'x'));
  BOOST_TEST(Fields.readUntil("\r\n\r\n").rfind("HTTP/1.1 431", 0) == 0);
  RawSocket Body(Port);
  Body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
  BOOST_TEST(Body.readUntil("\r\n\r\n").rfind("HTTP/1.1 413", 0) == 0);
  RawSocket Slow(Port);
  Slow.send("GET / HTTP/1.1\r\nHos");
  BOOST_TEST(Slow.readUntil("\r\n\r\n").rfind("HTTP/1.1 408", 0) == 0);
  BOOST_TEST(Slow.isClosed());
  BOOST_TEST(taken() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RefusesALineOfABodyWithoutEnd, Fixture) {
  for (const char *Line : {"5;", "0\r\nX: "}) {
    RawSocket Caller(Port);
    Caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                "\r\n" +
                std::string(Line) + std::string(4000, 'x'));
    BOOST_TEST(Caller.readUntil("\r\n\r\n").rfind("HTTP/1.1 431", 0) == 0);
  }
  BOOST_TEST(taken() == 0U);
}

BOOST_FIXTURE_TEST_CASE(EndsItsConnectionsWithTheirNextAnswers, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  Caller.readUntil("GET /1 ");
  Worker.runAndWait([this] { Server->retireConnections(); });
  Caller.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string Read = Caller.readUntil("GET /2 ");
  BOOST_TEST(Read.find("connection: close") != std::string::npos);
  BOOST_TEST(Caller.isClosed());
}

// Framing that two readers could take differently must never deliver what
// follows it as a request of its own.
BOOST_FIXTURE_TEST_CASE(RefusesAmbiguousFraming, Fixture) {
  const std::vector<std::string> Heads = {
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
      "Content-Length: 4\r\nContent-Length: 40\r\n",
      "Content-Length: 4, 40\r\n",
      "Content-Length: -1\r\n",
      "Content-Length: 0x4\r\n",
      "Content-Length : 4\r\n",
      "Content-Length: 4\nX: y\r\n",
      "X: y\n\r\n",
  };
  for (const std::string &Head : Heads) {
    RawSocket Caller(Port);
    Caller.send("POST /first HTTP/1.1\r\nHost: h\r\n" + Head +
                "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST_CONTEXT(Head)
    BOOST_TEST(Caller.isClosed());
  }
  Worker.runAndWait([this] {
    for (const Http::Request &Each : Taken)
      BOOST_TEST(Each.Path != "/smuggled");
  });
}

// Seeded noise in requests: the server lives on, and what it takes is whole.
BOOST_FIXTURE_TEST_CASE(LivesThroughNoise, Fixture) {
  std::mt19937 Random(20261204);
  const std::string Sound = "POST /x HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 5\r\n\r\nhello";
  for (int Round = 0; Round < 300; ++Round) {
    std::string Bytes = Sound;
    for (int Change = 0; Change < 3; ++Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random() % 256);
    RawSocket Caller(Port);
    Caller.send(Bytes);
  }
  RawSocket Last(Port);
  Last.send(Sound);
  BOOST_TEST(Last.readUntil("hello").find("200") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
