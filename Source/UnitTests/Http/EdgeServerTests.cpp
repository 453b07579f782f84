#include <deque>
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

// Responds to each request at once, but leaves it open if its path starts with
// /hold.
struct Fixture {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Http::EdgeServer> Server;
  std::vector<Http::Request> Requests;
  std::vector<Http::ExchangeId> OpenExchanges;
  std::vector<Http::ExchangeId> Disconnected;
  int Port = 0;

  Fixture() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Http::EdgeLimits Limits;
      Limits.HeaderBytes = 2048;
      Limits.BodyBytes = 4096;
      Limits.HeaderTimeout = Millis(300);
      Limits.IdleTimeout = Millis(2000);
      Server =
          Http::EdgeServerBuilder(Worker)
              .limits(Limits)
              .onRequest([this](Http::ExchangeId Id, Http::Request Request) {
                handleRequest(Id, std::move(Request));
              })
              .onCallerDisconnected(
                  [this](Http::ExchangeId Id) { Disconnected.push_back(Id); })
              .build();
      Port = Server->port();
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] { Server.reset(); });
  }

  void handleRequest(Http::ExchangeId Id, Http::Request Request) {
    const bool Hold = Request.Path.rfind("/hold", 0) == 0;
    Http::Response Reply;
    Reply.Body = Request.Method + " " + Request.Target + " " + Request.Body;
    Requests.push_back(std::move(Request));
    if (Hold)
      OpenExchanges.push_back(Id);
    else
      Server->respond(Id, Reply);
  }

  bool waitFor(const std::function<bool()> &Condition,
               Millis Timeout = Millis(5000)) {
    const auto Deadline = std::chrono::steady_clock::now() + Timeout;
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < Deadline) {
      Worker.runAndWait([&] { IsMet = Condition(); });
      std::this_thread::sleep_for(Millis(2));
    }
    return IsMet;
  }
  std::size_t requestCount() {
    std::size_t Count = 0;
    Worker.runAndWait([&] { Count = Requests.size(); });
    return Count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(PassesTheTargetOnUnchanged, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /a%2Fb/../c?x=%20&y HTTP/1.1\r\nHost: h\r\n\r\n");
  Caller.readUntil("GET /a%2Fb/../c?x=%20&y ");
  BOOST_REQUIRE_EQUAL(requestCount(), 1U);
  BOOST_TEST(Requests[0].Target == "/a%2Fb/../c?x=%20&y");
  BOOST_TEST(Requests[0].Path == "/a%2Fb/../c");
}

BOOST_FIXTURE_TEST_CASE(ReportsACallerThatDisconnectsWhileItsRequestIsOpen,
                        Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(waitFor([this] { return OpenExchanges.size() == 1; }));
  Caller.close();
  BOOST_TEST(
      waitFor([this] { return Disconnected == OpenExchanges; }, Millis(400)));
}

BOOST_FIXTURE_TEST_CASE(ServesPipelinedRequestsInOrder, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
              "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n3\r\nabc\r\n0\r\n\r\n"
              "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string Read = Caller.readUntil("GET /3 ");
  BOOST_TEST(Read.find("GET /1 ") < Read.find("POST /2 abc"));
  BOOST_TEST(Read.find("POST /2 abc") < Read.find("GET /3 "));
}

// A slow request must not hold up those that its caller sends behind it.
BOOST_FIXTURE_TEST_CASE(PipelinedSafeRequestsRunSideBySide, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /hold/1 HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /hold/2 HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(waitFor([this] { return Requests.size() == 3; }));
  Worker.runAndWait([this] {
    Server->respond(OpenExchanges[1], {200, {}, "second"});
  });
  BOOST_TEST(!Caller.isClosed(Millis(50)));
  Worker.runAndWait([this] {
    Server->respond(OpenExchanges[0], {200, {}, "first"});
  });
  const std::string Read = Caller.readUntil("GET /3 ");
  BOOST_TEST(Read.find("first") < Read.find("second"));
  BOOST_TEST(Read.find("second") < Read.find("GET /3 "));
}

BOOST_FIXTURE_TEST_CASE(FurtherPipelinedRequestsRunWhenEarlierOnesEnd,
                        Fixture) {
  constexpr std::size_t MaxOpen = 16;
  std::string Sent;
  for (std::size_t Index = 0; Index < MaxOpen + 1; ++Index)
    Sent += "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
  RawSocket Caller(Port);
  Caller.send(Sent);
  BOOST_REQUIRE(waitFor([&] { return Requests.size() == MaxOpen; }));
  std::this_thread::sleep_for(Millis(30));
  BOOST_TEST(requestCount() == MaxOpen);
  Worker.runAndWait([this] {
    Server->respond(OpenExchanges[0], {200, {}, "first"});
  });
  BOOST_TEST(waitFor([&] { return Requests.size() == MaxOpen + 1; }));
}

// The effects of a request that is not safe must not overtake earlier requests,
// and later ones must not overtake it.
BOOST_FIXTURE_TEST_CASE(UnsafeRequestRunsAlone, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /hold/1 HTTP/1.1\r\nHost: h\r\n\r\n"
              "POST /hold/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
              "GET /hold/3 HTTP/1.1\r\nHost: h\r\n\r\n");
  for (std::size_t Expected = 1; Expected <= 3; ++Expected) {
    BOOST_REQUIRE(waitFor([&] { return Requests.size() == Expected; }));
    std::this_thread::sleep_for(Millis(30));
    BOOST_TEST(requestCount() == Expected);
    Worker.runAndWait([this] {
      Server->respond(OpenExchanges.back(), {200, {}, "done"});
    });
  }
  BOOST_TEST(Requests[1].Method == "POST");
}

BOOST_FIXTURE_TEST_CASE(MalformedRequestIsRejectedAfterEarlierResponses,
                        Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\nNONSENSE\r\n\r\n");
  BOOST_REQUIRE(waitFor([this] { return OpenExchanges.size() == 1; }));
  std::this_thread::sleep_for(Millis(30));
  Worker.runAndWait([this] {
    Server->respond(OpenExchanges[0], {200, {}, "first"});
  });
  const std::string Read = Caller.readUntil("400 ");
  BOOST_TEST(Read.find("first") < Read.find("400 "));
  BOOST_TEST(Caller.isClosed());
  BOOST_TEST(requestCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(DisconnectEndsAllPipelinedRequests, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /hold/1 HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /hold/2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(waitFor([this] { return OpenExchanges.size() == 2; }));
  Caller.close();
  BOOST_TEST(waitFor([this] { return Disconnected == OpenExchanges; }));
}

// The body of a request that another one delays may take as long as any other.
BOOST_FIXTURE_TEST_CASE(ContinuesARequestBehindAnOpenOne, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
              "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
              "Expect: 100-continue\r\n\r\n");
  BOOST_REQUIRE(waitFor([this] { return OpenExchanges.size() == 1; }));
  Worker.runAndWait([this] {
    Server->respond(OpenExchanges[0], {200, {}, "first"});
  });
  Caller.readUntil("100 Continue");
  Caller.send("abc");
  BOOST_TEST(Caller.readUntil("POST /2 abc").find("200") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(EnforcesItsLimits, Fixture) {
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
  BOOST_TEST(requestCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RejectsAnEndlessLineInAChunkedBody, Fixture) {
  for (const char *Line : {"5;", "0\r\nX: "}) {
    RawSocket Caller(Port);
    Caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                "\r\n" +
                std::string(Line) + std::string(4000, 'x'));
    BOOST_TEST(Caller.readUntil("\r\n\r\n").rfind("HTTP/1.1 431", 0) == 0);
  }
  BOOST_TEST(requestCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(DrainsConnectionsWithTheirNextResponses, Fixture) {
  RawSocket Caller(Port);
  Caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  Caller.readUntil("GET /1 ");
  Worker.runAndWait([this] { Server->drainConnections(); });
  Caller.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string Read = Caller.readUntil("GET /2 ");
  BOOST_TEST(Read.find("connection: close") != std::string::npos);
  BOOST_TEST(Caller.isClosed());
}

// Request smuggling: if the framing of a request is ambiguous, the bytes that
// follow it must never be handled as a request of their own.
BOOST_FIXTURE_TEST_CASE(RejectsAmbiguousFraming, Fixture) {
  const std::vector<std::string> Headers = {
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
  for (const std::string &Header : Headers) {
    RawSocket Caller(Port);
    Caller.send("POST /first HTTP/1.1\r\nHost: h\r\n" + Header +
                "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST_CONTEXT(Header)
    BOOST_TEST(Caller.isClosed());
  }
  Worker.runAndWait([this] {
    for (const Http::Request &Request : Requests)
      BOOST_TEST(Request.Path != "/smuggled");
  });
}

// Requests with random byte errors, from a fixed seed, must not stop the server
// from handling a valid request afterwards.
BOOST_FIXTURE_TEST_CASE(SurvivesCorruptedRequests, Fixture) {
  std::mt19937 Random(20261204);
  const std::string Valid = "POST /x HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 5\r\n\r\nhello";
  for (int Round = 0; Round < 300; ++Round) {
    std::string Bytes = Valid;
    for (int Mutation = 0; Mutation < 3; ++Mutation)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random() % 256);
    RawSocket Caller(Port);
    Caller.send(Bytes);
  }
  RawSocket Last(Port);
  Last.send(Valid);
  BOOST_TEST(Last.readUntil("hello").find("200") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(BodyThatTricklesInIsRefused, Fixture) {
  RawSocket Peer(Port);
  Peer.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
  const auto End = std::chrono::steady_clock::now() + Millis(3000);
  while (std::chrono::steady_clock::now() < End && !Peer.isClosed(Millis(50)))
    Peer.send("x");
  BOOST_TEST(Peer.isClosed(Millis(1)));
  BOOST_TEST(Peer.readUntil("408", Millis(1)).find("408") != std::string::npos);
  BOOST_TEST(requestCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(SlowBodyThatMakesProgressIsAccepted, Fixture) {
  RawSocket Peer(Port);
  Peer.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n");
  for (int Part = 0; Part < 8; ++Part) {
    std::this_thread::sleep_for(Millis(100));
    Peer.send(std::string(500, 'x'));
  }
  BOOST_TEST(Peer.readUntil("200 OK").find("200 OK") != std::string::npos);
}

// Due timers run between two socket events, so a task that is late may find
// that a request has timed out although the rest of it has arrived.
BOOST_FIXTURE_TEST_CASE(RequestThatWaitsInTheKernelDoesNotTimeOut, Fixture) {
  RawSocket Peer(Port);
  Peer.send("GET /a HTTP/1.1\r\n");
  std::deque<RawSocket> Others;
  while (Others.size() < 10)
    Others.emplace_back(Port);
  std::this_thread::sleep_for(Millis(50));
  Worker.runAndWait([&] {
    for (const RawSocket &Other : Others)
      Other.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    Peer.send("Host: h\r\n\r\n");
    std::this_thread::sleep_for(Millis(600));
  });
  BOOST_TEST(Peer.readUntil("\r\n\r\n").rfind("HTTP/1.1 200", 0) == 0);
}

// A planned stop begins while a request runs. The next one on the connection
// has been received already, so it must get an answer as well.
BOOST_FIXTURE_TEST_CASE(DrainAnswersRequestsThatWereReceived, Fixture) {
  RawSocket Peer(Port);
  Peer.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
            "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(waitFor([&] { return !OpenExchanges.empty(); }));
  std::this_thread::sleep_for(Millis(50));
  Worker.runAndWait([&] {
    Server->drainConnections();
    Http::Response Reply;
    Reply.Body = "held";
    Server->respond(OpenExchanges[0], Reply);
  });
  const std::string Received = Peer.readUntil("GET /next");
  BOOST_TEST(Received.find("held") != std::string::npos);
  BOOST_TEST(Received.find("GET /next") != std::string::npos);
  BOOST_TEST(Peer.isClosed());
}

BOOST_AUTO_TEST_SUITE_END()
