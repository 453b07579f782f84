#include <boost/test/unit_test.hpp>

#include "Node/PeersService.h"
#include "UnitTests/RecordingSink.h"

BOOST_AUTO_TEST_SUITE(PeersServices)

namespace {

using Common::Millis;
using FrontSink = UnitTests::RecordingSink<Node::FrontMessage>;
using BackendSink = UnitTests::RecordingSink<Node::BackendMessage>;
using Peers = Node::PeersService<FrontSink, BackendSink>;

// Passes frames between two nodes, until it is told to swallow those of the
// connections it has.
class Relay {
public:
  Relay(Kernel::Task &Home, int To)
      : Listener(Home, "127.0.0.1", 0, [this, &Home, To](const auto &Adopt) {
          auto Added = std::make_unique<Pair>();
          Pair *Way = Added.get();
          Way->Near = Adopt({[Way](std::string_view Bytes) {
                               if (!Way->SwallowRequests)
                                 Way->Far->send(Bytes);
                             },
                             [](const auto &) {}});
          Way->Far = Wire::FrameSocket::connect(
              Home, "127.0.0.1:" + std::to_string(To),
              {[Way](std::string_view Bytes) {
                 if (!Way->SwallowAnswers)
                   Way->Near->send(Bytes);
               },
               [](const auto &) {}});
          Pairs.push_back(std::move(Added));
        }) {}

  void swallow(bool Requests, bool Answers) {
    for (const auto &Each : Pairs) {
      Each->SwallowRequests = Requests;
      Each->SwallowAnswers = Answers;
    }
  }
  std::string where() const {
    return "127.0.0.1:" + std::to_string(Listener.port());
  }

private:
  struct Pair {
    std::unique_ptr<Wire::FrameSocket> Near;
    std::unique_ptr<Wire::FrameSocket> Far;
    bool SwallowRequests = false;
    bool SwallowAnswers = false;
  };
  std::vector<std::unique_ptr<Pair>> Pairs;
  Wire::FrameListener Listener;
};

int freePort() {
  Kernel::Task Worker("port");
  Worker.spawn();
  int Result = 0;
  Worker.runAndWait([&] {
    Result =
        Wire::FrameListener(Worker, "127.0.0.1", 0, [](const auto &) {}).port();
  });
  return Result;
}

struct Fixture {
  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  std::vector<Node::FrontMessage> ToFront;
  std::vector<Node::FrontMessage> Unused;
  std::vector<Node::BackendMessage> ToBackend;
  std::unique_ptr<Peers> Near;
  std::unique_ptr<Peers> Far;
  std::unique_ptr<Relay> Between;

  Fixture() {
    Worker.spawn();
    const int Port = freePort();
    Worker.runAndWait([&] {
      Far = start(Port, Unused, ToBackend);
      Near = start(0, ToFront, ToBackend);
      Between = std::make_unique<Relay>(Worker, Port);
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] {
      Near.reset();
      Far.reset();
      Between.reset();
    });
  }

  std::unique_ptr<Peers> start(int Port, std::vector<Node::FrontMessage> &Front,
                               std::vector<Node::BackendMessage> &Backend) {
    Node::NodeSettings Settings;
    Settings.Address = "127.0.0.1";
    Settings.PeerPort = Port;
    Settings.EchoInterval = Millis(400);
    Settings.IdleEchoInterval = Millis(10'000);
    Settings.EchoLimit = Millis(1200);
    auto Result = std::make_unique<Peers>(
        Kernel::Context{Worker, Names}, Settings, [&Front, &Backend] {
          return Peers::Sinks{FrontSink(Front), BackendSink(Backend)};
        });
    Result->start();
    return Result;
  }

  void request(const std::string &Address, Routing::AttemptId Id) {
    Worker.runAndWait([&] {
      Routing::CallRequest Request;
      Request.Attempt = Id;
      Near->handle(Node::SendRequest{Address, Request});
    });
  }
  // Answers the request that came to the far node as its Index-th message.
  void answer(const Node::RequestArrived &Arrived) {
    Worker.runAndWait([&] {
      Routing::CallReply Reply;
      Reply.Attempt = Arrived.Request.Attempt;
      Far->handle(Node::SendReply{Arrived.Origin, Reply});
    });
  }
  template <class Part, class Message>
  Part waitFor(const std::vector<Message> &Sent, std::size_t Index) {
    const auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    std::optional<Part> Found;
    while (!Found && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] {
        if (Sent.size() > Index)
          if (const auto *Held = std::get_if<Part>(&Sent[Index]))
            Found = *Held;
      });
      std::this_thread::sleep_for(Millis(1));
    }
    BOOST_REQUIRE(Found.has_value());
    return *Found;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ASilentConnectionIsReplacedWithinTwoSeconds, Fixture) {
  const std::string Way = Between->where();
  request(Way, 1);
  const auto First = waitFor<Node::RequestArrived>(ToBackend, 0);
  Worker.runAndWait([&] { Between->swallow(false, true); });
  const auto Start = std::chrono::steady_clock::now();
  BOOST_TEST(waitFor<Node::NodeLost>(ToFront, 0).Address == Way);
  const auto Took = std::chrono::steady_clock::now() - Start;
  BOOST_TEST((Took < Millis(2000)));
  // The next call takes a new connection; the late answer is not taken.
  Worker.runAndWait([&] { Between->swallow(false, false); });
  answer(First);
  request(Way, 2);
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  std::optional<Node::RequestArrived> Second;
  while (!Second && std::chrono::steady_clock::now() < End) {
    Worker.runAndWait([&] {
      for (const Node::BackendMessage &Each : ToBackend)
        if (const auto *Part = std::get_if<Node::RequestArrived>(&Each))
          if (Part->Request.Attempt == 2)
            Second = *Part;
    });
    std::this_thread::sleep_for(Millis(1));
  }
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(Second->Origin != First.Origin);
  answer(*Second);
  BOOST_TEST(waitFor<Node::ReplyArrived>(ToFront, 1).Reply.Attempt == 2);
}

BOOST_FIXTURE_TEST_CASE(FindsAConnectionThatSwallowsRequests, Fixture) {
  for (const bool Answers : {false, true}) {
    const std::size_t Seen = ToFront.size();
    request(Between->where(), 1);
    Worker.runAndWait([&] { Between->swallow(true, Answers); });
    const auto Start = std::chrono::steady_clock::now();
    waitFor<Node::NodeLost>(ToFront, Seen);
    BOOST_TEST((std::chrono::steady_clock::now() - Start < Millis(2000)));
  }
}

BOOST_FIXTURE_TEST_CASE(ACallThatLeftNoNodeDidNotRun, Fixture) {
  request("127.0.0.1:1", 7);
  const auto Reply = waitFor<Node::ReplyArrived>(ToFront, 0).Reply;
  BOOST_TEST(Reply.Attempt == 7);
  BOOST_TEST((Reply.Result == Common::ResultCode::PeerUnreachable));
  // While the backoff lasts, there is no further try.
  request("127.0.0.1:1", 8);
  BOOST_TEST(waitFor<Node::ReplyArrived>(ToFront, 1).Reply.Attempt == 8);
}

BOOST_FIXTURE_TEST_CASE(AnAnsweredConnectionIsKept, Fixture) {
  request(Between->where(), 1);
  const auto First = waitFor<Node::RequestArrived>(ToBackend, 0);
  const auto End = std::chrono::steady_clock::now() + Millis(2500);
  while (std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(Millis(50));
  answer(First);
  BOOST_TEST(waitFor<Node::ReplyArrived>(ToFront, 0).Reply.Attempt == 1);
}

BOOST_AUTO_TEST_SUITE_END()
