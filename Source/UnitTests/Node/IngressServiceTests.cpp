#include <atomic>
#include <functional>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Config/ObjectSetBuilder.h"
#include "Net/Listener.h"
#include "Node/IngressService.h"
#include "UnitTests/RawSocket.h"
#include "UnitTests/RecordingSink.h"

BOOST_AUTO_TEST_SUITE(IngressServices)

namespace {

using Common::Millis;
template <class Message> using Sink = UnitTests::RecordingSink<Message>;
using Ingress =
    Node::IngressService<Routing::RoundRobinChoice, Sink<Node::PeersMessage>,
                         Sink<Node::MembersMessage>, Sink<Node::ClaimsMessage>,
                         Sink<Node::MetricsMessage>, Sink<Node::AdminMessage>>;

// The ingress of a node with one server, and the requests of its callers.
struct Fixture {
  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  std::vector<Node::PeersMessage> ToPeers;
  Node::NodeSettings Settings;
  std::unique_ptr<Ingress> Tested;

  Fixture() {
    Worker.spawn();
    Settings.CallAddress = "127.0.0.1";
    Settings.OpenCallLimit = 100;
    Settings.BodyLimit = 1000;
    Settings.Quota = {std::chrono::seconds(5), 0.1, 20};
    Worker.runAndWait([this] {
      Settings.CallPort =
          Net::Listener(Worker, "127.0.0.1", 0, [](const auto &) {}).port();
      Tested = std::make_unique<Ingress>(
          Kernel::Context{Worker, Names}, Settings, Routing::RoundRobinChoice(),
          Ingress::Sinks{Sink<Node::PeersMessage>(ToPeers), {}, {}, {}, {}});
      Tested->start();
      Config::AcceptedSet Accepted;
      Accepted.SetVersion = 5;
      Accepted.Set = sampleSet();
      Tested->handle(Node::ConfigAccepted{Accepted});
      auto Servers = std::make_shared<Routing::ServerView>();
      Servers->ByService["s"] = {{"s1", "10.0.0.1:1", "here", 6}};
      Tested->handle(Node::ServersChanged{Servers});
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] {
      Tested->stop();
      Tested.reset();
    });
  }

  static Config::ObjectSetPtr sampleSet() {
    return Config::ObjectSetBuilder()
        .input("f", "[service s]\n"
                    "[retry r]\nattempts = 1\n"
                    "[kind long]\nidempotent = yes\ndeadline = 5s\n"
                    "retry = r\n"
                    "[kind short]\nidempotent = yes\ndeadline = 1s\n"
                    "retry = r\n"
                    "[route a]\nprefix = /long\nservice = s\nkind = long\n"
                    "[route b]\nprefix = /short\nservice = s\nkind = short\n")
        .build();
  }
  static std::string request(const std::string &Path) {
    return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  bool waitFor(const std::function<bool()> &Condition) {
    const auto Deadline = std::chrono::steady_clock::now() + Millis(8000);
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < Deadline) {
      Worker.runAndWait([&] { IsMet = Condition(); });
      std::this_thread::sleep_for(Millis(2));
    }
    return IsMet;
  }
  std::size_t passedOn() {
    std::size_t Result = 0;
    Worker.runAndWait([&] { Result = ToPeers.size(); });
    return Result;
  }
};

} // namespace

// Guards against a planned stop that cuts calls which were accepted late and
// were still running when the node ended.
BOOST_FIXTURE_TEST_CASE(PlannedStopAcceptsOnlyCallsThatItCanAnswer, Fixture) {
  Worker.runAndWait([this] {
    Tested->prepareStop(std::chrono::steady_clock::now() + Millis(3000));
  });
  UnitTests::RawSocket Long(Settings.CallPort);
  Long.send(request("/long"));
  BOOST_TEST(Long.readUntil("\r\n\r\n").find(" 503 ") != std::string::npos);
  BOOST_TEST(passedOn() == 0U);
  UnitTests::RawSocket Short(Settings.CallPort);
  Short.send(request("/short"));
  BOOST_TEST(Short.readUntil("\r\n\r\n", Millis(200)).empty());
  BOOST_TEST(passedOn() == 1U);
}

// Guards against a planned stop that takes calls without end: when the server
// side has drained, nothing needs the ingress any more.
BOOST_FIXTURE_TEST_CASE(RefusesNewCallsOnceItDrains, Fixture) {
  UnitTests::RawSocket Open(Settings.CallPort);
  Open.send(request("/short"));
  BOOST_TEST(Open.readUntil("\r\n\r\n", Millis(200)).empty());
  UnitTests::RawSocket Idle(Settings.CallPort);
  bool Drained = false;
  Worker.runAndWait([&] {
    Tested->prepareStop(std::chrono::steady_clock::now() + Millis(3000));
    Tested->drain([&] { Drained = true; });
  });
  Idle.send(request("/short"));
  BOOST_TEST(Idle.readUntil("\r\n\r\n").find(" 200 ") == std::string::npos);
  BOOST_TEST(passedOn() == 1U);
  // The call that was open ends at its deadline, and the drain with it.
  BOOST_TEST(Open.readUntil("\r\n\r\n").find(" 504 ") != std::string::npos);
  const auto End = std::chrono::steady_clock::now() + Millis(2000);
  bool IsDrained = false;
  while (!IsDrained && std::chrono::steady_clock::now() < End) {
    Worker.runAndWait([&] { IsDrained = Drained; });
    std::this_thread::sleep_for(Millis(1));
  }
  BOOST_TEST(IsDrained);
}

// A planned stop cut responses that their callers were still receiving.
BOOST_FIXTURE_TEST_CASE(PlannedStopSendsWholeResponses, Fixture) {
  constexpr std::size_t Bytes = 16 << 20;
  constexpr int SmallBuffer = 64 << 10;
  UnitTests::RawSocket Caller(Settings.CallPort, SmallBuffer);
  Caller.send(request("/long"));
  BOOST_REQUIRE(waitFor([this] { return ToPeers.size() == 1; }));
  std::string Received;
  std::thread Reader([&] {
    Received = Caller.readSlowly(1 << 20, Millis(50), Millis(10'000));
  });
  std::atomic<bool> Done = false;
  Worker.runAndWait([&] {
    Tested->prepareStop(std::chrono::steady_clock::now() + Millis(8000));
    Tested->drain([&] { Done = true; });
    Routing::CallReply Reply;
    Reply.Attempt = std::get<Node::SendRequest>(ToPeers[0]).Request.Attempt;
    Reply.HttpStatus = 200;
    Reply.Body = std::string(Bytes, 'x');
    Tested->handle(Node::ReplyArrived{Reply});
  });
  BOOST_TEST(waitFor([&] { return Done.load(); }));
  Worker.runAndWait([this] { Tested->stop(); });
  Reader.join();
  BOOST_TEST(!Caller.wasReset());
  BOOST_TEST(Received.size() > Bytes);
}

// The loss of another node during a stop ends the calls there and the drain.
BOOST_FIXTURE_TEST_CASE(DrainEndsAlthoughAnotherNodeIsLost, Fixture) {
  UnitTests::RawSocket Open(Settings.CallPort);
  Open.send(request("/long"));
  BOOST_TEST(Open.readUntil("\r\n\r\n", Millis(200)).empty());
  bool Drained = false;
  Worker.runAndWait([&] {
    Tested->prepareStop(std::chrono::steady_clock::now() + Millis(3000));
    Tested->drain([&] { Drained = true; });
    const auto &Sent = std::get<Node::SendRequest>(ToPeers[0]);
    Tested->handle(Node::NodeLost{"10.0.0.1:1", {Sent.Request.Attempt}});
  });
  BOOST_TEST(Open.readUntil("outcome unknown").find("ConnectionLost") !=
             std::string::npos);
  BOOST_TEST(Open.isClosed());
  const auto End = std::chrono::steady_clock::now() + Millis(2000);
  bool IsDrained = false;
  while (!IsDrained && std::chrono::steady_clock::now() < End) {
    Worker.runAndWait([&] { IsDrained = Drained; });
    std::this_thread::sleep_for(Millis(1));
  }
  BOOST_TEST(IsDrained);
}

namespace {

// The same node with a set that has a tenant with a quota.
struct TenantFixture : Fixture {
  TenantFixture() {
    Worker.runAndWait([this] {
      Config::AcceptedSet Accepted;
      Accepted.SetVersion = 6;
      Accepted.Set =
          Config::ObjectSetBuilder()
              .input("f", sampleSet()->canonicalText() +
                              "[route c]\nprefix = /open\nservice = s\n"
                              "kind = short\nanonymous = yes\n"
                              "[tenant acme]\nkeys = hush\npriority = 7\n"
                              "rate = 1\nburst = 3\n")
              .build();
      Tested->handle(Node::ConfigAccepted{Accepted});
    });
  }

  // The status of the response; empty if the call was passed on.
  std::string statusOf(const std::string &Path, const std::string &Fields) {
    UnitTests::RawSocket Socket(Settings.CallPort);
    Socket.send("GET " + Path + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n");
    const std::string Head = Socket.readUntil("\r\n\r\n", Millis(150));
    return Head.empty() ? "" : Head.substr(Head.find(' ') + 1, 3);
  }
  Routing::CallRequest lastRequest() {
    Routing::CallRequest Result;
    Worker.runAndWait([&] {
      for (const Node::PeersMessage &Sent : ToPeers)
        if (const auto *Request = std::get_if<Node::SendRequest>(&Sent))
          Result = Request->Request;
    });
    return Result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RefusesUnknownAndMissingTenantKeys, TenantFixture) {
  BOOST_TEST(statusOf("/short", "") == "401");
  BOOST_TEST(statusOf("/short", "X-Api-Key: other\r\n") == "401");
  BOOST_TEST(passedOn() == 0U);
}

BOOST_FIXTURE_TEST_CASE(NamesTheTenantInsteadOfItsKey, TenantFixture) {
  BOOST_TEST(
      statusOf("/short", "X-Api-Key: hush\r\nX-Tenant: forged\r\n").empty());
  const Routing::CallRequest Sent = lastRequest();
  BOOST_TEST(Sent.Tenant == "acme");
  BOOST_TEST(Sent.Priority == 7);
  BOOST_TEST(!Sent.Fields.contains("x-api-key"));
  BOOST_TEST(!Sent.Fields.contains("x-tenant"));
}

BOOST_FIXTURE_TEST_CASE(AnonymousRoutesTakeNoTenantFromCallers, TenantFixture) {
  BOOST_TEST(statusOf("/open", "X-Tenant: forged\r\n").empty());
  const Routing::CallRequest Sent = lastRequest();
  BOOST_TEST(Sent.Tenant.empty());
  BOOST_TEST(Sent.Priority == 0);
  BOOST_TEST(!Sent.Fields.contains("x-tenant"));
}

BOOST_FIXTURE_TEST_CASE(RefusesBeyondTheQuotaOfATenant, TenantFixture) {
  for (int Call = 0; Call < 3; ++Call)
    BOOST_TEST(statusOf("/short", "X-Api-Key: hush\r\n").empty());
  BOOST_TEST(statusOf("/short", "X-Api-Key: hush\r\n") == "429");
}

BOOST_AUTO_TEST_SUITE_END()
