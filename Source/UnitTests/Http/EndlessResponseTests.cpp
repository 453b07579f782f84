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

// Servers that send bytes without end, on threads of their own, so that they
// send as fast as the client reads.
BOOST_AUTO_TEST_SUITE(EndlessAnswers)

namespace {

using Common::Millis;

// Longer than any test waits: a client that does not close is found out.
constexpr Millis ServerLife{6'000};
constexpr Millis CallLimit{2'000};
// Echoes between nodes have to be answered within 1.2 s, on the same thread.
constexpr Millis LongestStall{600};

struct Script {
  const char *Name;
  // Sent once, then Repeated until the client closes.
  std::string Head;
  std::string Repeated;

  friend std::ostream &operator<<(std::ostream &Out, const Script &Given) {
    return Out << Given.Name;
  }
};

const std::string Block(32 << 10, 'a');
const std::string Begun = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
const std::string Chunked = Begun + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<Script> NeverAnAnswer = {
    {"status line", "", Block},
    {"field", Begun + "X-Field: ", Block},
    {"fields", Begun, "X-Field: value\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"answers to others", "",
     "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 1\r\n\r\na"},
    {"body without a length", Begun + "\r\n", Block},
    {"body of a huge length", Begun + "Content-Length: 999999999999\r\n\r\n",
     Block},
    {"chunks", Chunked, "8000\r\n" + Block + "\r\n"},
    {"length of a chunk", Chunked, std::string(Block.size(), '0')},
    {"extension of a chunk", Chunked + "5;", Block},
    {"trailers", Chunked + "0\r\n", "X-Field: value\r\n"},
    {"one trailer", Chunked + "0\r\nX-Field: ", Block},
    {"empty lines", "", "\r\n\r\n"},
};

class EndlessServer {
public:
  explicit EndlessServer(Script Given, Millis Pause = Millis(0))
      : Given(std::move(Given)), Pause(Pause) {
    // Small writes would measure the system calls of this server.
    while (this->Given.Repeated.size() < Block.size() && Pause.count() == 0)
      this->Given.Repeated += this->Given.Repeated;
    Socket.open(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
    Acceptor = std::thread([this] { acceptAll(); });
  }
  ~EndlessServer() {
    Stopping = true;
    Acceptor.join();
    for (std::thread &Each : Senders)
      Each.join();
    Socket.close();
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::string address() const {
    ACE_INET_Addr Own;
    Socket.get_local_addr(Own);
    return "127.0.0.1:" + std::to_string(Own.get_port_number());
  }
  // Connections that the client closed.
  int closed() const { return Closed; }

private:
  void acceptAll() {
    while (!Stopping) {
      ACE_SOCK_Stream Accepted;
      ACE_Time_Value Wait(0, 20'000);
      if (Socket.accept(Accepted, nullptr, &Wait) == 0)
        Senders.emplace_back([this, Accepted] { serve(Accepted); });
    }
  }
  void serve(ACE_SOCK_Stream Peer) {
    const Common::ScopeGuard End([&Peer] { Peer.close(); });
    std::array<char, 4096> Asked{};
    if (Peer.recv(Asked.data(), Asked.size()) <= 0)
      return;
    const auto Until = std::chrono::steady_clock::now() + ServerLife;
    bool IsOpen = send(Peer, Given.Head);
    while (IsOpen && !Stopping && std::chrono::steady_clock::now() < Until) {
      IsOpen = send(Peer, Given.Repeated);
      std::this_thread::sleep_for(Pause);
    }
    Closed += IsOpen ? 0 : 1;
  }
  static bool send(ACE_SOCK_Stream &Peer, const std::string &Bytes) {
    ACE_Time_Value Wait(5);
    return Peer.send_n(Bytes.data(), Bytes.size(), MSG_NOSIGNAL, &Wait) ==
           static_cast<ssize_t>(Bytes.size());
  }

  Script Given;
  Millis Pause;
  ACE_SOCK_Acceptor Socket;
  std::thread Acceptor;
  std::list<std::thread> Senders;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Closed = 0;
};

struct Fixture {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Http::KeepAliveClient> Client;
  // For the platform's store.
  std::unique_ptr<Http::Client> Store;
  std::unique_ptr<Kernel::Timers> Clock;
  std::vector<Http::ClientResult> Results;
  std::size_t MostHeld = 0;
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
      Store.reset();
      Client.reset();
    });
  }

  // Sees how long the thread is held up, and what it holds.
  void tick() {
    const auto Now = std::chrono::steady_clock::now();
    WorstStall = std::max<Common::Duration>(WorstStall, Now - LastTick);
    MostHeld = std::max(MostHeld, Client->heldBytes());
    LastTick = Now;
    Clock->after(Millis(5), [this] { tick(); });
  }
  void send(const EndlessServer &To, Common::Micros Limit = CallLimit) {
    Worker.runAndWait([&] {
      Client->useServer(To.address());
      Http::KeepAliveRequest Asked;
      Asked.Method = "GET";
      Asked.Target = "/";
      Asked.Fields["x-id"] = "1";
      Asked.EchoedField = "x-id";
      Asked.Limit = Limit;
      Client->send(std::move(Asked), [this](Http::ClientResult Result) {
        Results.push_back(std::move(Result));
      });
    });
  }
  bool waitFor(const std::function<bool()> &Happened) {
    const auto End = std::chrono::steady_clock::now() + ServerLife / 2;
    bool Seen = false;
    while (!Seen && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { Seen = Happened(); });
      std::this_thread::sleep_for(Millis(2));
    }
    return Seen;
  }
};

} // namespace

BOOST_DATA_TEST_CASE_F(Fixture, EndsWithoutAnAnswerAndCloses,
                       boost::unit_test::data::make(NeverAnAnswer), Given) {
  const EndlessServer Server(Given);
  send(Server);
  BOOST_REQUIRE(waitFor([this] { return Results.size() == 1; }));
  BOOST_TEST(!Results[0].Answered);
  BOOST_TEST(Results[0].MayHaveRun);
  BOOST_TEST(!Results[0].Failure.empty());
  BOOST_TEST(waitFor([&] { return Server.closed() == 1; }));
  BOOST_TEST((WorstStall <= LongestStall));
  BOOST_TEST(MostHeld <= Http::AnswerLimits().HeldBytes);
}

BOOST_DATA_TEST_CASE_F(Fixture, EndsAtTheTimeLimitWhenTheBytesComeSlowly,
                       boost::unit_test::data::make(NeverAnAnswer), Given) {
  Script Slow = Given;
  Slow.Repeated = "a";
  const EndlessServer Server(Slow, Millis(10));
  const auto Sent = std::chrono::steady_clock::now();
  send(Server, Millis(300));
  BOOST_REQUIRE(waitFor([this] { return Results.size() == 1; }));
  BOOST_TEST(!Results[0].Answered);
  BOOST_TEST((std::chrono::steady_clock::now() - Sent <= Millis(1'000)));
  BOOST_TEST(waitFor([&] { return Server.closed() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(KeepsTheAnswerThatEndlessBytesFollow, Fixture) {
  const EndlessServer Server(
      {"rest", Begun + "Content-Length: 4\r\n\r\nbody", Block});
  send(Server);
  BOOST_REQUIRE(waitFor([this] { return Results.size() == 1; }));
  BOOST_TEST(Results[0].Answered);
  BOOST_TEST(Results[0].Reply.Body == "body");
  BOOST_TEST(waitFor([&] { return Server.closed() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(HoldsABoundedNumberOfBytesOfAllAnswers, Fixture) {
  constexpr std::size_t Calls = 9;
  const EndlessServer Server({"body", Begun + "\r\n", Block});
  for (std::size_t Index = 0; Index < Calls; ++Index)
    send(Server);
  BOOST_REQUIRE(waitFor([&] { return Results.size() == Calls; }));
  for (const Http::ClientResult &Each : Results)
    BOOST_TEST(!Each.Answered);
  BOOST_TEST(MostHeld <= Http::AnswerLimits().HeldBytes);
  BOOST_TEST((WorstStall <= LongestStall));
}

BOOST_FIXTURE_TEST_CASE(AStoreWhoseAnswerHasNoEndIsGivenUp, Fixture) {
  const EndlessServer Server({"body", Begun + "\r\n", Block});
  Worker.runAndWait([&] {
    Store = std::make_unique<Http::Client>(Worker);
    Http::ClientRequest Asked;
    Asked.Url = "http://" + Server.address() + "/";
    Asked.Limit = 2 * CallLimit;
    Store->send(std::move(Asked), [this](Http::ClientResult Result) {
      Results.push_back(std::move(Result));
    });
  });
  BOOST_REQUIRE(waitFor([this] { return Results.size() == 1; }));
  BOOST_TEST(!Results[0].Answered);
  BOOST_TEST(!Results[0].Failure.empty());
  BOOST_TEST((WorstStall <= LongestStall));
}

BOOST_AUTO_TEST_SUITE_END()
