#include <atomic>
#include <list>
#include <thread>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Common/ScopeGuard.h"
#include "Http/KeepAliveClient.h"

// Servers that send bytes without end. They run on threads of their own, so
// that they send as fast as the client reads.
BOOST_AUTO_TEST_SUITE(EndlessResponses)

namespace {

using Common::Millis;

// Longer than any test waits, so that a client which doesn't close the
// connection fails the test.
constexpr Millis ServerLifetime{6'000};
constexpr Millis CallTimeout{2'000};
// Echoes between nodes have to be answered within 1.2 s, and the same thread
// answers them.
constexpr Millis MaxStall{600};

struct EndlessResponse {
  const char *Name;
  // Prefix is sent once, then Repeated until the client closes the connection.
  std::string Prefix;
  std::string Repeated;

  friend std::ostream &operator<<(std::ostream &Out,
                                  const EndlessResponse &Printed) {
    return Out << Printed.Name;
  }
};

const std::string Block(32 << 10, 'a');
const std::string StatusAndEcho = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
const std::string ChunkedHeader =
    StatusAndEcho + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessResponse> NeverCompleteResponses = {
    {"status line", "", Block},
    {"field", StatusAndEcho + "X-Field: ", Block},
    {"fields", StatusAndEcho, "X-Field: value\r\n"},
    {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"responses to other requests", "",
     "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 1\r\n\r\na"},
    {"body without a length", StatusAndEcho + "\r\n", Block},
    {"body of a huge length",
     StatusAndEcho + "Content-Length: 999999999999\r\n\r\n", Block},
    {"chunks", ChunkedHeader, "8000\r\n" + Block + "\r\n"},
    {"length of a chunk", ChunkedHeader, std::string(Block.size(), '0')},
    {"extension of a chunk", ChunkedHeader + "5;", Block},
    {"trailers", ChunkedHeader + "0\r\n", "X-Field: value\r\n"},
    {"one trailer", ChunkedHeader + "0\r\nX-Field: ", Block},
    {"empty lines", "", "\r\n\r\n"},
};

class EndlessServer {
public:
  explicit EndlessServer(EndlessResponse Response, Millis Pause = Millis(0))
      : Response(std::move(Response)), Pause(Pause) {
    // With small writes the system calls of this server would dominate the
    // measured time.
    while (this->Response.Repeated.size() < Block.size() && Pause.count() == 0)
      this->Response.Repeated += this->Response.Repeated;
    ListeningSocket.open(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
    Acceptor = std::thread([this] { acceptAll(); });
  }
  ~EndlessServer() {
    Stopping = true;
    Acceptor.join();
    for (std::thread &Sender : Senders)
      Sender.join();
    ListeningSocket.close();
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::string address() const {
    ACE_INET_Addr LocalAddress;
    ListeningSocket.get_local_addr(LocalAddress);
    return "127.0.0.1:" + std::to_string(LocalAddress.get_port_number());
  }
  // Connections that the client closed.
  int closed() const { return Closed; }

private:
  void acceptAll() {
    while (!Stopping) {
      ACE_SOCK_Stream Accepted;
      ACE_Time_Value Timeout(0, 20'000);
      if (ListeningSocket.accept(Accepted, nullptr, &Timeout) == 0)
        Senders.emplace_back([this, Accepted] { serve(Accepted); });
    }
  }
  void serve(ACE_SOCK_Stream Peer) {
    const Common::ScopeGuard End([&Peer] { Peer.close(); });
    std::array<char, 4096> Buffer{};
    if (Peer.recv(Buffer.data(), Buffer.size()) <= 0)
      return;
    const auto Deadline = std::chrono::steady_clock::now() + ServerLifetime;
    bool IsOpen = send(Peer, Response.Prefix);
    while (IsOpen && !Stopping && std::chrono::steady_clock::now() < Deadline) {
      IsOpen = send(Peer, Response.Repeated);
      std::this_thread::sleep_for(Pause);
    }
    Closed += IsOpen ? 0 : 1;
  }
  static bool send(ACE_SOCK_Stream &Peer, const std::string &Bytes) {
    ACE_Time_Value Timeout(5);
    return Peer.send_n(Bytes.data(), Bytes.size(), MSG_NOSIGNAL, &Timeout) ==
           static_cast<ssize_t>(Bytes.size());
  }

  EndlessResponse Response;
  Millis Pause;
  ACE_SOCK_Acceptor ListeningSocket;
  std::thread Acceptor;
  std::list<std::thread> Senders;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Closed = 0;
};

struct Fixture {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Http::KeepAliveClient> Client;
  // The client that reads the platform's store.
  std::unique_ptr<Http::Client> StoreClient;
  std::unique_ptr<Kernel::Timers> Clock;
  std::vector<Http::ClientResult> Results;
  std::size_t MaxBuffered = 0;
  Common::SteadyTime LastTick = std::chrono::steady_clock::now();
  Common::Duration WorstStall{0};

  Fixture() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Client = std::make_unique<Http::KeepAliveClient>(Worker);
      Clock = std::make_unique<Kernel::Timers>(Worker);
      tick();
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] {
      Clock.reset();
      StoreClient.reset();
      Client.reset();
    });
  }

  // Records the longest delay of the thread and the most bytes buffered.
  void tick() {
    const auto Now = std::chrono::steady_clock::now();
    WorstStall = std::max<Common::Duration>(WorstStall, Now - LastTick);
    MaxBuffered = std::max(MaxBuffered, Client->bufferedBytes());
    LastTick = Now;
    Clock->after(Millis(5), [this] { tick(); });
  }
  void send(const EndlessServer &Server, Common::Micros Timeout = CallTimeout) {
    Worker.runAndWait([&] {
      Client->useServer(Server.address());
      Http::KeepAliveRequest Request;
      Request.Method = "GET";
      Request.Target = "/";
      Request.Fields["x-id"] = "1";
      Request.EchoedField = "x-id";
      Request.Timeout = Timeout;
      Client->send(std::move(Request), [this](Http::ClientResult Result) {
        Results.push_back(std::move(Result));
      });
    });
  }
  bool waitFor(const std::function<bool()> &Condition) {
    const auto Deadline = std::chrono::steady_clock::now() + ServerLifetime / 2;
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < Deadline) {
      Worker.runAndWait([&] { IsMet = Condition(); });
      std::this_thread::sleep_for(Millis(2));
    }
    return IsMet;
  }
};

} // namespace

BOOST_DATA_TEST_CASE_F(Fixture, FailsAndClosesTheConnection,
                       boost::unit_test::data::make(NeverCompleteResponses),
                       Tested) {
  const EndlessServer Server(Tested);
  send(Server);
  BOOST_REQUIRE(waitFor([this] { return Results.size() == 1; }));
  BOOST_TEST(!Results[0].Answered);
  BOOST_TEST(Results[0].MayHaveRun);
  BOOST_TEST(!Results[0].Failure.empty());
  BOOST_TEST(waitFor([&] { return Server.closed() == 1; }));
  BOOST_TEST((WorstStall <= MaxStall));
  BOOST_TEST(MaxBuffered <= Http::ResponseLimits().BufferedBytes);
}

BOOST_DATA_TEST_CASE_F(Fixture, TimesOutWhenTheBytesComeSlowly,
                       boost::unit_test::data::make(NeverCompleteResponses),
                       Tested) {
  EndlessResponse Slow = Tested;
  Slow.Repeated = "a";
  const EndlessServer Server(Slow, Millis(10));
  const auto SendTime = std::chrono::steady_clock::now();
  send(Server, Millis(300));
  BOOST_REQUIRE(waitFor([this] { return Results.size() == 1; }));
  BOOST_TEST(!Results[0].Answered);
  BOOST_TEST((std::chrono::steady_clock::now() - SendTime <= Millis(1'000)));
  BOOST_TEST(waitFor([&] { return Server.closed() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(DeliversTheResponseThatEndlessBytesFollow, Fixture) {
  const EndlessServer Server({"bytes after the response",
                              StatusAndEcho + "Content-Length: 4\r\n\r\nbody",
                              Block});
  send(Server);
  BOOST_REQUIRE(waitFor([this] { return Results.size() == 1; }));
  BOOST_TEST(Results[0].Answered);
  BOOST_TEST(Results[0].Reply.Body == "body");
  BOOST_TEST(waitFor([&] { return Server.closed() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(LimitsTheBytesBufferedForAllResponses, Fixture) {
  constexpr std::size_t Calls = 9;
  const EndlessServer Server({"body", StatusAndEcho + "\r\n", Block});
  for (std::size_t Index = 0; Index < Calls; ++Index)
    send(Server);
  BOOST_REQUIRE(waitFor([&] { return Results.size() == Calls; }));
  for (const Http::ClientResult &Result : Results)
    BOOST_TEST(!Result.Answered);
  BOOST_TEST(MaxBuffered <= Http::ResponseLimits().BufferedBytes);
  BOOST_TEST((WorstStall <= MaxStall));
}

BOOST_FIXTURE_TEST_CASE(AnEndlessResponseOfAStoreIsAborted, Fixture) {
  const EndlessServer Server({"body", StatusAndEcho + "\r\n", Block});
  Worker.runAndWait([&] {
    StoreClient = std::make_unique<Http::Client>(Worker);
    Http::ClientRequest Request;
    Request.Url = "http://" + Server.address() + "/";
    Request.Timeout = 2 * CallTimeout;
    StoreClient->send(std::move(Request), [this](Http::ClientResult Result) {
      Results.push_back(std::move(Result));
    });
  });
  BOOST_REQUIRE(waitFor([this] { return Results.size() == 1; }));
  BOOST_TEST(!Results[0].Answered);
  BOOST_TEST(!Results[0].Failure.empty());
  BOOST_TEST((WorstStall <= MaxStall));
}

BOOST_AUTO_TEST_SUITE_END()
