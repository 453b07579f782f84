#include <algorithm>
#include <concepts>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

#include "Common/ScopeGuard.h"
#include "Common/UniqueFd.h"
#include "Config/ObjectSetBuilder.h"
#include "Node/PeersService.h"
#include "Routing/Dispatcher.h"
#include "UnitTests/RawSocket.h"
#include "UnitTests/RecordingSink.h"

BOOST_AUTO_TEST_SUITE(PeersServices)

namespace {

using Common::Millis;
// Records the messages to the ingress, and runs OnPosted after each.
struct IngressSink : UnitTests::RecordingSink<Node::IngressMessage> {
  IngressSink(std::vector<Node::IngressMessage> &Messages,
              std::function<void()> &OnPosted)
      : RecordingSink(Messages), OnPosted(&OnPosted) {}
  IngressSink() = default;

  Kernel::PostResult post(Node::IngressMessage Content) {
    const auto Result = RecordingSink::post(std::move(Content));
    if (OnPosted && *OnPosted)
      (*OnPosted)();
    return Result;
  }

  std::function<void()> *OnPosted = nullptr;
};
using BackendSink = UnitTests::RecordingSink<Node::BackendMessage>;
using Peers = Node::PeersService<IngressSink, BackendSink>;

// Forwards frames between two nodes. The frames of the connections that exist
// at the time can be dropped in either direction.
class Relay {
public:
  Relay(Kernel::Task &Task, int To)
      : Listener(Task, "127.0.0.1", 0, [this, &Task, To](const auto &Adopt) {
          auto Added = std::make_unique<ConnectionPair>();
          ConnectionPair *Connection = Added.get();
          Connection->CallerSide =
              Adopt({[Connection](std::string_view Bytes) {
                       if (!Connection->DropRequests)
                         Connection->ServerSide->send(Bytes);
                     },
                     [Connection](const auto &) {
                       if (!Connection->DropRequests)
                         Connection->ServerSide.reset();
                     }});
          Connection->ServerSide = Wire::FrameSocket::connect(
              Task, "127.0.0.1:" + std::to_string(To),
              {[Connection](std::string_view Bytes) {
                 if (!Connection->DropReplies)
                   Connection->CallerSide->send(Bytes);
               },
               [](const auto &) {}});
          Connections.push_back(std::move(Added));
        }) {}

  void drop(bool Requests, bool Replies) {
    for (const auto &Connection : Connections) {
      Connection->DropRequests = Requests;
      Connection->DropReplies = Replies;
    }
  }
  void close() { Connections.clear(); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listener.port());
  }

private:
  struct ConnectionPair {
    std::unique_ptr<Wire::FrameSocket> CallerSide;
    std::unique_ptr<Wire::FrameSocket> ServerSide;
    bool DropRequests = false;
    bool DropReplies = false;
  };
  std::vector<std::unique_ptr<ConnectionPair>> Connections;
  Wire::FrameListener Listener;
};

// Lets peers connect, but reads nothing. Its connections are reset when it is
// destroyed.
class DeafListener {
public:
  DeafListener() : Fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Local = {};
    socklen_t Size = sizeof Local;
    Local.sin_family = AF_INET;
    Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(::bind(Fd.value(), reinterpret_cast<sockaddr *>(&Local),
                         sizeof Local) == 0);
    BOOST_REQUIRE(::listen(Fd.value(), 1) == 0);
    ::getsockname(Fd.value(), reinterpret_cast<sockaddr *>(&Local), &Size);
    Port = ntohs(Local.sin_port);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  Common::UniqueFd Fd;
  int Port = 0;
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
  std::function<void()> OnPosted;
  std::vector<Node::IngressMessage> ToIngress;
  std::vector<Node::IngressMessage> Unused;
  std::vector<Node::BackendMessage> ToBackend;
  std::unique_ptr<Peers> CallerSide;
  std::unique_ptr<Peers> ServerSide;
  std::unique_ptr<Relay> Between;
  int ServerPort = freePort();

  Millis EchoInterval;
  Millis EchoLimit;
  std::size_t MemoryLimit;

  explicit Fixture(Millis EchoInterval = Millis(400),
                   Millis EchoLimit = Millis(1200),
                   std::size_t MemoryLimit = 2'000'000'000)
      : EchoInterval(EchoInterval), EchoLimit(EchoLimit),
        MemoryLimit(MemoryLimit) {
    Worker.spawn();
    Worker.runAndWait([&] {
      ServerSide = start(ServerPort, Unused, ToBackend);
      CallerSide = start(0, ToIngress, ToBackend);
      Between = std::make_unique<Relay>(Worker, ServerPort);
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] {
      CallerSide.reset();
      ServerSide.reset();
      Between.reset();
    });
  }

  std::unique_ptr<Peers> start(int Port,
                               std::vector<Node::IngressMessage> &Ingress,
                               std::vector<Node::BackendMessage> &Backend) {
    Node::NodeSettings Settings;
    Settings.Address = "127.0.0.1";
    Settings.PeerPort = Port;
    Settings.EchoInterval = EchoInterval;
    Settings.IdleEchoInterval = Millis(10'000);
    Settings.EchoLimit = EchoLimit;
    Settings.MemoryLimit = MemoryLimit;
    auto Result = std::make_unique<Peers>(
        Kernel::Context{Worker, Names}, Settings, [this, &Ingress, &Backend] {
          return Peers::Sinks{IngressSink(Ingress, OnPosted),
                              BackendSink(Backend)};
        });
    Result->start();
    return Result;
  }

  void request(const std::string &Address, Routing::AttemptId Id,
               const std::string &DataCentre = "", bool MayBeRepeated = true) {
    Worker.runAndWait([&] {
      Routing::CallRequest Request;
      Request.Attempt = Id;
      CallerSide->handle(Node::SendRequest{Address, Request, DataCentre,
                                           std::nullopt, MayBeRepeated});
    });
  }
  void requestOnce(const std::string &Address, Routing::AttemptId Id) {
    request(Address, Id, "", false);
  }
  // Answers a request that arrived at the server-side node.
  void answer(const Node::RequestArrived &Arrived, std::size_t BodyBytes = 0) {
    Worker.runAndWait([&] {
      Routing::CallReply Reply;
      Reply.Attempt = Arrived.Request.Attempt;
      Reply.Body = std::string(BodyBytes, 'x');
      ServerSide->handle(Node::SendReply{Arrived.Origin, Reply});
    });
  }
  // The node to which the request was passed on.
  Node::RequestArrived arrived(Routing::AttemptId Id) {
    return waitFor<Node::RequestArrived>(ToBackend, [&](const auto &Message) {
      return Message.Request.Attempt == Id;
    });
  }
  std::size_t repliesTo(Routing::AttemptId Id) {
    return count<Node::ReplyArrived>(
        [&](const auto &Message) { return Message.Reply.Attempt == Id; });
  }
  std::size_t lossesOf(Routing::AttemptId Id) {
    return count<Node::NodeLost>([&](const auto &Message) {
      return std::ranges::count(Message.Attempts, Id) > 0;
    });
  }
  template <class Content, class Predicate>
  std::size_t count(Predicate IsCounted) {
    std::size_t Result = 0;
    Worker.runAndWait([&] {
      for (const Node::IngressMessage &Message : ToIngress)
        if (const auto *Value = std::get_if<Content>(&Message))
          Result += IsCounted(*Value) ? 1 : 0;
    });
    return Result;
  }
  // The first message of this kind for which the predicate is true.
  template <class Content, class Message, class Predicate>
  requires std::predicate<Predicate, const Content &>
      Content waitFor(const std::vector<Message> &Sent, Predicate IsAwaited) {
    const auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    std::optional<Content> Found;
    while (!Found && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] {
        for (const Message &Candidate : Sent)
          if (const auto *Value = std::get_if<Content>(&Candidate);
              Value && !Found && IsAwaited(*Value))
            Found = *Value;
      });
      std::this_thread::sleep_for(Millis(1));
    }
    BOOST_REQUIRE(Found.has_value());
    return *Found;
  }
  template <class Content, class Message>
  Content waitFor(const std::vector<Message> &Sent, std::size_t Index) {
    const auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    std::optional<Content> Found;
    while (!Found && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] {
        if (Sent.size() > Index)
          if (const auto *Value = std::get_if<Content>(&Sent[Index]))
            Found = *Value;
      });
      std::this_thread::sleep_for(Millis(1));
    }
    BOOST_REQUIRE(Found.has_value());
    return *Found;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SilentConnectionIsReplacedWithinTwoSeconds, Fixture) {
  const std::string Address = Between->address();
  request(Address, 1);
  const auto First = waitFor<Node::RequestArrived>(ToBackend, 0);
  Worker.runAndWait([&] { Between->drop(false, true); });
  const auto Start = std::chrono::steady_clock::now();
  const auto Lost = waitFor<Node::NodeLost>(ToIngress, 0);
  BOOST_TEST(Lost.Address == Address);
  BOOST_TEST(Lost.Attempts == std::vector<Routing::AttemptId>{1},
             boost::test_tools::per_element());
  const auto Took = std::chrono::steady_clock::now() - Start;
  BOOST_TEST((Took < Millis(2000)));
  // The next call uses a new connection, and the late reply on the old one is
  // ignored.
  Worker.runAndWait([&] { Between->drop(false, false); });
  answer(First);
  request(Address, 2);
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  std::optional<Node::RequestArrived> Second;
  while (!Second && std::chrono::steady_clock::now() < End) {
    Worker.runAndWait([&] {
      for (const Node::BackendMessage &Message : ToBackend)
        if (const auto *Arrived = std::get_if<Node::RequestArrived>(&Message))
          if (Arrived->Request.Attempt == 2)
            Second = *Arrived;
    });
    std::this_thread::sleep_for(Millis(1));
  }
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(Second->Origin != First.Origin);
  answer(*Second);
  BOOST_TEST(waitFor<Node::ReplyArrived>(ToIngress, 1).Reply.Attempt == 2);
}

// Calls that must not be repeated ended when the other node was silent for a
// while, although its server was at work on them.
BOOST_FIXTURE_TEST_CASE(SilenceEndsNoCallThatMustNotBeRepeated, Fixture) {
  const std::string Address = Between->address();
  requestOnce(Address, 1);
  request(Address, 2);
  const auto First = arrived(1);
  const auto Repeatable = arrived(2);
  Worker.runAndWait([&] { Between->drop(false, true); });
  const auto Start = std::chrono::steady_clock::now();
  const auto Lost = waitFor<Node::NodeLost>(ToIngress, 0);
  BOOST_TEST((std::chrono::steady_clock::now() - Start < Millis(2000)));
  BOOST_TEST(Lost.Attempts == std::vector<Routing::AttemptId>{2},
             boost::test_tools::per_element());
  // New calls go over a new connection.
  Worker.runAndWait([&] { Between->drop(false, false); });
  requestOnce(Address, 3);
  const auto Next = arrived(3);
  BOOST_TEST(Next.Origin != First.Origin);
  // The server-side node no longer works at the call that is repeated.
  const auto Cancelled = waitFor<Node::CancelArrived>(
      ToBackend, [](const auto &) { return true; });
  BOOST_TEST(Cancelled.Origin == Repeatable.Origin);
  BOOST_TEST(Cancelled.Attempt == 2);
  answer(Repeatable);
  answer(First);
  answer(First);
  answer(Next);
  waitFor<Node::ReplyArrived>(ToIngress, [](const auto &Message) {
    return Message.Reply.Attempt == 3;
  });
  waitFor<Node::ReplyArrived>(ToIngress, [](const auto &Message) {
    return Message.Reply.Attempt == 1;
  });
  std::this_thread::sleep_for(Millis(300));
  BOOST_TEST(repliesTo(1) == 1U);
  BOOST_TEST(repliesTo(2) == 0U);
  BOOST_TEST(lossesOf(1) == 0U);
  BOOST_TEST(count<Node::NodeSilent>([](const auto &Message) {
               return Message.Attempts == std::vector<Routing::AttemptId>{1};
             }) == 1U);
  // Without a pending call the old connection is closed.
  waitFor<Node::OriginLost>(ToBackend, [&](const auto &Message) {
    return Message.Origin == First.Origin;
  });
}

BOOST_FIXTURE_TEST_CASE(CancelsOnTheConnectionThatWasSilent, Fixture) {
  requestOnce(Between->address(), 1);
  const auto First = arrived(1);
  Worker.runAndWait([&] { Between->drop(false, true); });
  waitFor<Node::NodeSilent>(ToIngress, [](const auto &) { return true; });
  request(Between->address(), 2);
  arrived(2);
  Worker.runAndWait([&] {
    CallerSide->handle(Node::SendCancel{Between->address(), 1});
  });
  const auto Cancelled = waitFor<Node::CancelArrived>(
      ToBackend, [](const auto &) { return true; });
  BOOST_TEST(Cancelled.Origin == First.Origin);
  BOOST_TEST(Cancelled.Attempt == 1);
}

BOOST_FIXTURE_TEST_CASE(CloseOfASilentConnectionEndsItsCalls, Fixture) {
  requestOnce(Between->address(), 1);
  arrived(1);
  Worker.runAndWait([&] { Between->drop(false, true); });
  waitFor<Node::NodeSilent>(ToIngress, [](const auto &) { return true; });
  BOOST_TEST(lossesOf(1) == 0U);
  Worker.runAndWait([&] { Between->close(); });
  waitFor<Node::NodeLost>(ToIngress, [](const auto &Message) {
    return Message.Attempts == std::vector<Routing::AttemptId>{1};
  });
}

namespace {

struct ImpatientFixture : Fixture {
  ImpatientFixture() : Fixture(Millis(100), Millis(300)) {}
};

} // namespace

BOOST_FIXTURE_TEST_CASE(KeepsFewSilentConnectionsToANode, ImpatientFixture) {
  constexpr Routing::AttemptId Kept = 4;
  for (Routing::AttemptId Id = 1; Id <= Kept + 2; ++Id) {
    requestOnce(Between->address(), Id);
    arrived(Id);
    Worker.runAndWait([&] { Between->drop(true, true); });
    waitFor<Node::NodeSilent>(ToIngress, [&](const auto &Message) {
      return Message.Attempts == std::vector<Routing::AttemptId>{Id};
    });
  }
  for (Routing::AttemptId Id = 1; Id <= Kept + 2; ++Id)
    BOOST_TEST(lossesOf(Id) == (Id <= 2 ? 1U : 0U));
}

BOOST_FIXTURE_TEST_CASE(DetectsAConnectionThatDropsRequests, Fixture) {
  for (const bool Replies : {false, true}) {
    const std::size_t Seen = ToIngress.size();
    request(Between->address(), 1);
    Worker.runAndWait([&] { Between->drop(true, Replies); });
    const auto Start = std::chrono::steady_clock::now();
    waitFor<Node::NodeLost>(ToIngress, Seen);
    BOOST_TEST((std::chrono::steady_clock::now() - Start < Millis(2000)));
  }
}

BOOST_FIXTURE_TEST_CASE(UnsentCallIsReportedAsNotRun, Fixture) {
  request("127.0.0.1:1", 7);
  const auto Reply = waitFor<Node::ReplyArrived>(ToIngress, 0).Reply;
  BOOST_TEST(Reply.Attempt == 7);
  BOOST_TEST((Reply.Result == Common::ResultCode::PeerUnreachable));
  // No further connection attempt is made during the backoff.
  request("127.0.0.1:1", 8);
  BOOST_TEST(waitFor<Node::ReplyArrived>(ToIngress, 1).Reply.Attempt == 8);
}

// A call that found its connection closed, before the close was handled, was
// taken for one that may have run.
BOOST_FIXTURE_TEST_CASE(CallOnAConnectionJustClosedGoesOverANewOne, Fixture) {
  std::vector<std::unique_ptr<Wire::FrameSocket>> Accepted;
  std::vector<Wire::Frame> OnSecond;
  std::unique_ptr<Wire::FrameListener> Listener;
  Worker.runAndWait([&] {
    Listener = std::make_unique<Wire::FrameListener>(
        Worker, "127.0.0.1", 0, [&](const auto &Adopt) {
          const bool IsSecond = !Accepted.empty();
          Accepted.push_back(Adopt({[&, IsSecond](std::string_view Bytes) {
                                      if (IsSecond)
                                        OnSecond.push_back(
                                            Wire::decodeFrame(Bytes));
                                    },
                                    [](const auto &) {}}));
        });
  });
  const Common::ScopeGuard Cleanup([&] {
    Worker.runAndWait([&] {
      Accepted.clear();
      Listener.reset();
    });
  });
  const std::string Address = "127.0.0.1:" + std::to_string(Listener->port());
  requestOnce(Address, 1);
  // The report comes in one read with a frame that closes the connection, so
  // the request is handled between the close and the notice of it.
  OnPosted = [&] {
    OnPosted = nullptr;
    Worker.post([&] {
      Routing::CallRequest Request;
      Request.Attempt = 2;
      CallerSide->handle(Node::SendRequest{Address, Request});
    });
  };
  bool IsAccepted = false;
  while (!IsAccepted)
    Worker.runAndWait([&] { IsAccepted = !Accepted.empty(); });
  Worker.runAndWait([&] {
    Accepted[0]->send(Wire::encodeFrame(Wire::LoadReport{"s", {}}));
    Accepted[0]->send(std::string(Wire::MaxFrameBytes + 1, 'x'));
  });
  waitFor<Node::NodeLost>(ToIngress, [](const auto &Message) {
    return Message.Attempts == std::vector<Routing::AttemptId>{1};
  });
  waitFor<Routing::CallRequest>(
      OnSecond, [](const auto &Request) { return Request.Attempt == 2; });
  BOOST_TEST(lossesOf(2) == 0U);
}

// Calls that still waited to be sent when their connection was lost were taken
// for calls that may have run.
BOOST_FIXTURE_TEST_CASE(CallsThatWereNotSentAreReportedAsNotRun, Fixture) {
  constexpr Routing::AttemptId Count = 6;
  // Nothing is read from the connection.
  std::optional<DeafListener> Peer(std::in_place);
  for (Routing::AttemptId Id = 1; Id <= Count; ++Id)
    Worker.runAndWait([&] {
      Routing::CallRequest Request;
      Request.Attempt = Id;
      Request.Body = std::string(Wire::MaxFrameBodyBytes, 'x');
      CallerSide->handle(Node::SendRequest{Peer->address(), Request});
    });
  std::this_thread::sleep_for(Millis(200));
  Peer.reset();
  waitFor<Node::ReplyArrived>(ToIngress, [&](const auto &Message) {
    return Message.Reply.Attempt == Count &&
           Message.Reply.Result == Common::ResultCode::PeerUnreachable;
  });
  waitFor<Node::NodeLost>(ToIngress, [&](const auto &Message) {
    return !Message.Attempts.empty() && Message.Attempts.front() == 1;
  });
  for (Routing::AttemptId Id = 1; Id <= Count; ++Id)
    BOOST_TEST(repliesTo(Id) + lossesOf(Id) == 1U);
}

namespace {

// A small node, and peers that send requests but do not read the replies.
struct FrozenPeersFixture : Fixture {
  static constexpr std::size_t ReplyBytes = 2 << 20;
  static constexpr int SmallBuffer = 64 << 10;

  FrozenPeersFixture() : Fixture(Millis(400), Millis(1200), 100'000'000) {}

  static std::string framed(const Wire::Frame &Content) {
    const std::string Encoded = Wire::encodeFrame(Content);
    std::string Result;
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Result.push_back(static_cast<char>(Encoded.size() >> Shift & 0xff));
    return Result + Encoded;
  }
  static void sendRequests(const UnitTests::RawSocket &Peer,
                           Routing::AttemptId From, Routing::AttemptId To) {
    for (Routing::AttemptId Id = From; Id <= To; ++Id) {
      Routing::CallRequest Request;
      Request.Attempt = Id;
      Peer.send(framed(Request));
    }
  }
  static std::vector<Routing::CallReply> repliesIn(std::string_view Bytes) {
    std::vector<Routing::CallReply> Result;
    while (Bytes.size() >= 4) {
      std::size_t Length = 0;
      for (const char Byte : Bytes.substr(0, 4))
        Length = Length << 8 | static_cast<unsigned char>(Byte);
      if (Bytes.size() - 4 < Length)
        break;
      const Wire::Frame Content = Wire::decodeFrame(Bytes.substr(4, Length));
      if (const auto *Reply = std::get_if<Routing::CallReply>(&Content))
        Result.push_back(*Reply);
      Bytes.remove_prefix(4 + Length);
    }
    return Result;
  }
  void checkHealthyPeer(Routing::AttemptId Id) {
    requestOnce(Between->address(), Id);
    answer(arrived(Id), ReplyBytes);
    const auto Arrived =
        waitFor<Node::ReplyArrived>(ToIngress, [&](const auto &Message) {
          return Message.Reply.Attempt == Id;
        });
    BOOST_TEST((Arrived.Reply.Result == Common::ResultCode::Ok));
    BOOST_TEST(Arrived.Reply.Body.size() == ReplyBytes);
  }
};

} // namespace

// A node kept all replies to a frozen node and passed its memory.
BOOST_FIXTURE_TEST_CASE(RepliesToAFrozenNodeAreBounded, FrozenPeersFixture) {
  constexpr Routing::AttemptId Count = 40;
  UnitTests::RawSocket Frozen(ServerPort, SmallBuffer);
  sendRequests(Frozen, 1, Count);
  for (Routing::AttemptId Id = 1; Id <= Count; ++Id)
    answer(arrived(Id), ReplyBytes);
  checkHealthyPeer(Count + 1);
  // The node thaws. It has run all calls, so none is reported as not run.
  const std::vector<Routing::CallReply> Replies =
      repliesIn(Frozen.readSlowly(1 << 20, Millis(1), Millis(3000)));
  BOOST_TEST(Replies.size() == static_cast<std::size_t>(Count));
  std::size_t Bytes = 0;
  for (const Routing::CallReply &Reply : Replies) {
    Bytes += Reply.Body.size();
    BOOST_TEST((Reply.Result == Common::ResultCode::Ok
                    ? Reply.Body.size() == ReplyBytes
                    : Common::isUnknownOutcome(Reply.Result)));
  }
  // The share of a peer, and what the kernel takes.
  BOOST_TEST(Bytes > ReplyBytes);
  BOOST_TEST(Bytes < 20'000'000U);
}

// A node that read its large replies got an unknown outcome instead.
BOOST_FIXTURE_TEST_CASE(RepliesToAPeerThatReadsAreNotReplaced,
                        FrozenPeersFixture) {
  constexpr Routing::AttemptId Count = 14;
  UnitTests::RawSocket Reading(ServerPort, SmallBuffer);
  sendRequests(Reading, 1, Count);
  std::string Bytes;
  std::thread Reader(
      [&] { Bytes = Reading.readSlowly(256 << 10, Millis(5), Millis(3000)); });
  for (Routing::AttemptId Id = 1; Id <= Count; ++Id)
    answer(arrived(Id), ReplyBytes);
  Reader.join();
  const std::vector<Routing::CallReply> Replies = repliesIn(Bytes);
  BOOST_TEST(Replies.size() == static_cast<std::size_t>(Count));
  for (const Routing::CallReply &Reply : Replies) {
    BOOST_TEST((Reply.Result == Common::ResultCode::Ok));
    BOOST_TEST(Reply.Body.size() == ReplyBytes);
  }
}

BOOST_FIXTURE_TEST_CASE(RepliesToAllFrozenNodesAreBounded, FrozenPeersFixture) {
  constexpr Routing::AttemptId PeerCount = 6;
  constexpr Routing::AttemptId CallsOfPeer = 6;
  std::vector<std::unique_ptr<UnitTests::RawSocket>> Frozen;
  for (Routing::AttemptId Peer = 0; Peer < PeerCount; ++Peer) {
    Frozen.push_back(
        std::make_unique<UnitTests::RawSocket>(ServerPort, SmallBuffer));
    const Routing::AttemptId First = 1 + Peer * CallsOfPeer;
    sendRequests(*Frozen.back(), First, First + CallsOfPeer - 1);
    for (Routing::AttemptId Id = First; Id < First + CallsOfPeer; ++Id)
      answer(arrived(Id), ReplyBytes);
  }
  checkHealthyPeer(PeerCount * CallsOfPeer + 1);
  // Peers that held the most were closed, and their calls ended.
  std::size_t Closed = 0;
  Worker.runAndWait([&] {
    for (const Node::BackendMessage &Message : ToBackend)
      Closed += std::holds_alternative<Node::OriginLost>(Message) ? 1 : 0;
  });
  BOOST_TEST(Closed >= static_cast<std::size_t>(PeerCount - 4));
  BOOST_TEST(Closed < static_cast<std::size_t>(PeerCount));
}

// A data centre is cut off. Each connection into it notices that by itself only
// after its own time-out, so that calls used to wait for one node after the
// other.
BOOST_FIXTURE_TEST_CASE(CallsToACutDataCentreAreRefusedAtOnce, Fixture) {
  std::unique_ptr<Relay> Other;
  Worker.runAndWait(
      [&] { Other = std::make_unique<Relay>(Worker, ServerPort); });
  const Common::ScopeGuard Cleanup(
      [&] { Worker.runAndWait([&] { Other.reset(); }); });
  request(Between->address(), 1, "derby");
  request(Other->address(), 2, "derby");
  waitFor<Node::RequestArrived>(ToBackend, 1);
  Worker.runAndWait([&] {
    Between->drop(true, true);
    Other->drop(true, true);
  });
  const auto Cut =
      waitFor<Node::DataCentresUnreachable>(ToIngress, 0).DataCentres;
  BOOST_TEST(Cut.contains("derby"));
  // The calls that were sent may be running, so nothing is said about them.
  request("127.0.0.1:1", 3, "derby");
  const auto Refused = waitFor<Node::ReplyArrived>(ToIngress, 1).Reply;
  BOOST_TEST(Refused.Attempt == 3);
  BOOST_TEST((Refused.Result == Common::ResultCode::PeerUnreachable));
  // New connections work, so a probe finds out.
  Worker.runAndWait([&] {
    Between->drop(false, false);
    Other->drop(false, false);
  });
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  bool IsRegained = false;
  while (!IsRegained && std::chrono::steady_clock::now() < End) {
    Worker.runAndWait([&] {
      for (const Node::IngressMessage &Message : ToIngress)
        if (const auto *Now =
                std::get_if<Node::DataCentresUnreachable>(&Message))
          IsRegained = Now->DataCentres.empty();
    });
    std::this_thread::sleep_for(Millis(1));
  }
  BOOST_TEST(IsRegained);
}

BOOST_FIXTURE_TEST_CASE(ConnectionWithAnsweredEchoesIsKept, Fixture) {
  request(Between->address(), 1);
  const auto First = waitFor<Node::RequestArrived>(ToBackend, 0);
  const auto End = std::chrono::steady_clock::now() + Millis(2500);
  while (std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(Millis(50));
  answer(First);
  BOOST_TEST(waitFor<Node::ReplyArrived>(ToIngress, 0).Reply.Attempt == 1);
}

namespace {

// A node that reads replies only when it is told to.
struct SlowReaderFixture : Fixture {
  UnitTests::RawSocket Reader{ServerPort};
  bool Drained = false;

  // Sends a request and answers it with a body of this size.
  void exchange(std::size_t BodyBytes) {
    Routing::CallRequest Request;
    Request.Attempt = 1;
    const std::string Frame = Wire::encodeFrame(Request);
    std::string Length;
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Length.push_back(static_cast<char>(Frame.size() >> Shift & 0xff));
    Reader.send(Length + Frame);
    const auto Arrived = waitFor<Node::RequestArrived>(ToBackend, 0);
    Worker.runAndWait([&] {
      Routing::CallReply Reply;
      Reply.Attempt = 1;
      Reply.Body.assign(BodyBytes, 'x');
      ServerSide->handle(Node::SendReply{Arrived.Origin, Reply});
    });
  }
  void drain() {
    Worker.runAndWait([&] { ServerSide->drain([&] { Drained = true; }); });
  }
  bool isDrained(Millis Timeout) {
    const auto End = std::chrono::steady_clock::now() + Timeout;
    bool Result = false;
    while (!Result && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { Result = Drained; });
      std::this_thread::sleep_for(Millis(1));
    }
    return Result;
  }
};

} // namespace

// Guards against replies to other nodes that a planned stop cuts: the node
// ended a fixed time after its last call, whatever was left to send.
BOOST_FIXTURE_TEST_CASE(DrainSendsTheRepliesWhole, SlowReaderFixture) {
  constexpr std::size_t BodyBytes = 7'000'000;
  exchange(BodyBytes);
  drain();
  BOOST_TEST(!isDrained(Millis(700)));
  BOOST_TEST(Reader.isClosed());
  BOOST_TEST(Reader.readUntil("").size() > BodyBytes);
  Reader.close();
  BOOST_TEST(isDrained(Millis(2000)));
}

// A node that takes no notice of the end of the connection delays the stop only
// briefly.
BOOST_FIXTURE_TEST_CASE(DrainWaitsBrieflyForNodesThatHaveTheirReplies,
                        SlowReaderFixture) {
  exchange(100);
  drain();
  BOOST_TEST(isDrained(Millis(1000)));
  BOOST_TEST(Reader.isClosed());
}

BOOST_FIXTURE_TEST_CASE(DrainWithoutConnectionsEndsAtOnce, Fixture) {
  bool Drained = false;
  Worker.runAndWait([&] {
    ServerSide->drain([&] { Drained = true; });
    BOOST_TEST(Drained);
  });
}

// An idempotent call for which no further attempt is left is answered with a
// failure when the other node is silent, although its server is at work on it.
BOOST_FIXTURE_TEST_CASE(SilenceEndsNoCallThatHasNoAttemptLeft, Fixture) {
  Routing::Dispatcher<Routing::RoundRobinChoice> Calls{
      "here", Routing::RoundRobinChoice()};
  Calls.useSet(1, Config::ObjectSetBuilder()
                      .input("f", "[service s]\n[retry r]\nattempts = 1\n"
                                  "[kind read]\n"
                                  "idempotent = yes\ndeadline = 8s\nretry = r\n"
                                  "[route a]\nprefix = /\nservice = s\n"
                                  "kind = read\n")
                      .build());
  auto View = std::make_shared<Routing::ServerView>();
  View->ByService["s"] = {{"s1", Between->address(), "here", 6}};
  Calls.useServers(View, std::chrono::steady_clock::now());
  Routing::CallStart Start;
  Start.Call = 1;
  Start.Method = "GET";
  Start.Path = Start.Target = "/";
  const auto Begun =
      Calls.startCall(std::move(Start), std::chrono::steady_clock::now());
  BOOST_REQUIRE_EQUAL(Begun.size(), 1U);
  const auto Sent = std::get<Routing::SendAttempt>(Begun[0]);
  Worker.runAndWait([&] {
    CallerSide->handle(Node::SendRequest{Sent.Node, Sent.Request, ""});
  });
  const auto Arrived = arrived(Sent.Request.Attempt);
  Worker.runAndWait([&] { Between->drop(false, true); });
  std::this_thread::sleep_for(Millis(2500));
  Worker.runAndWait([&] { Between->drop(false, false); });
  answer(Arrived);
  std::this_thread::sleep_for(Millis(300));
  std::vector<Common::ResultCode> Answers;
  Worker.runAndWait([&] {
    for (const Node::IngressMessage &Message : ToIngress) {
      Routing::DispatchActions Actions;
      const auto Now = std::chrono::steady_clock::now();
      if (const auto *Lost = std::get_if<Node::NodeLost>(&Message))
        Actions = Calls.handleConnectionLost(Lost->Attempts, Now);
      else if (const auto *Reply = std::get_if<Node::ReplyArrived>(&Message))
        Actions = Calls.handleReply(Reply->Reply, Now);
      for (const Routing::DispatchAction &Action : Actions)
        if (const auto *Answer = std::get_if<Routing::AnswerCaller>(&Action))
          Answers.push_back(Answer->Reply.Result);
    }
  });
  BOOST_REQUIRE_EQUAL(Answers.size(), 1U);
  BOOST_TEST((Answers[0] == Common::ResultCode::Ok));
}

// The answer to an echo has arrived in time, but this node reads it late.
BOOST_FIXTURE_TEST_CASE(EchoAnswerThatWaitsInTheKernelDoesNotTimeOut, Fixture) {
  constexpr Millis AnswerDelay{1100};
  Kernel::Task Other("other");
  Kernel::Timers OtherClock(Other);
  std::unique_ptr<Wire::FrameListener> Listener;
  std::unique_ptr<Wire::FrameSocket> Accepted;
  std::optional<Common::SteadyTime> EchoedAt;
  Other.spawn();
  int Port = 0;
  Other.runAndWait([&] {
    Listener = std::make_unique<
        Wire::FrameListener>(Other, "127.0.0.1", 0, [&](const auto &Adopt) {
      Accepted = Adopt(
          {[&](std::string_view Bytes) {
             const Wire::Frame Content = Wire::decodeFrame(Bytes);
             const auto *Echo = std::get_if<Wire::Echo>(&Content);
             if (!Echo || EchoedAt)
               return;
             EchoedAt = std::chrono::steady_clock::now();
             OtherClock.after(AnswerDelay, [&, Sequence = Echo->Sequence] {
               Accepted->send(Wire::encodeFrame(Wire::Echo{Sequence, true}));
             });
           },
           [](const auto &) {}});
    });
    Port = Listener->port();
  });
  request("127.0.0.1:" + std::to_string(Port), 1);
  std::optional<Common::SteadyTime> Begin;
  while (!Begin) {
    Other.runAndWait([&] { Begin = EchoedAt; });
    std::this_thread::sleep_for(Millis(1));
  }
  std::this_thread::sleep_until(*Begin + Millis(950));
  Worker.runAndWait(
      [&] { std::this_thread::sleep_until(*Begin + Millis(1300)); });
  std::this_thread::sleep_for(Millis(100));
  BOOST_TEST(lossesOf(1) == 0U);
  Other.runAndWait([&] {
    Accepted.reset();
    Listener.reset();
  });
}

// A request that was received, but not read, when the connections between nodes
// are drained is neither run nor refused.
BOOST_FIXTURE_TEST_CASE(DrainRefusesARequestThatWaitsInTheKernel,
                        SlowReaderFixture) {
  exchange(100);
  Routing::CallRequest Request;
  Request.Attempt = 2;
  const std::string Frame = Wire::encodeFrame(Request);
  std::string Length;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Length.push_back(static_cast<char>(Frame.size() >> Shift & 0xff));
  Worker.runAndWait([&] {
    Reader.send(Length + Frame);
    std::this_thread::sleep_for(Millis(20));
    ServerSide->drain([&] { Drained = true; });
  });
  BOOST_TEST(isDrained(Millis(2000)));
  // The server side refuses what it is told of.
  std::size_t Arrived = 0;
  Worker.runAndWait([&] {
    for (const Node::BackendMessage &Message : ToBackend)
      Arrived += std::holds_alternative<Node::RequestArrived>(Message) ? 1 : 0;
  });
  BOOST_TEST(Arrived == 2U);
}

// Closing a listener resets the connections in its accept queue. The node at
// the other end takes its requests for run.
BOOST_FIXTURE_TEST_CASE(DrainDoesNotResetANodeThatWaitsToBeAccepted, Fixture) {
  std::optional<UnitTests::RawSocket> New;
  bool Drained = false;
  Worker.runAndWait([&] {
    New.emplace(ServerPort);
    New->send("x");
    std::this_thread::sleep_for(Millis(20));
    ServerSide->drain([&] { Drained = true; });
  });
  BOOST_TEST(New->isConnected());
  BOOST_TEST(New->isClosed());
  BOOST_TEST(!New->wasReset());
}

// A call that outlasts the drain of the server side ends while the connections
// between nodes are drained.
BOOST_FIXTURE_TEST_CASE(DrainSendsAReplyThatIsStillToCome, SlowReaderFixture) {
  Routing::CallRequest Request;
  Request.Attempt = 1;
  const std::string Frame = Wire::encodeFrame(Request);
  std::string Length;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Length.push_back(static_cast<char>(Frame.size() >> Shift & 0xff));
  Reader.send(Length + Frame);
  const auto Arrived = waitFor<Node::RequestArrived>(ToBackend, 0);
  drain();
  std::this_thread::sleep_for(Millis(50));
  Worker.runAndWait([&] {
    Routing::CallReply Reply;
    Reply.Attempt = 1;
    Reply.Body = "whole";
    ServerSide->handle(Node::SendReply{Arrived.Origin, Reply});
  });
  BOOST_TEST(Reader.readUntil("whole").find("whole") != std::string::npos);
}

// The drain ended a fixed time after the last reply, while a request was still
// unanswered.
BOOST_FIXTURE_TEST_CASE(DrainDoesNotEndBeforeAReplyThatIsStillToCome,
                        SlowReaderFixture) {
  Routing::CallRequest Request;
  Request.Attempt = 1;
  const std::string Frame = Wire::encodeFrame(Request);
  std::string Length;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Length.push_back(static_cast<char>(Frame.size() >> Shift & 0xff));
  Reader.send(Length + Frame);
  const auto Arrived = waitFor<Node::RequestArrived>(ToBackend, 0);
  drain();
  BOOST_TEST(!isDrained(Millis(700)));
  Worker.runAndWait([&] {
    Routing::CallReply Reply;
    Reply.Attempt = 1;
    Reply.Body = "whole";
    ServerSide->handle(Node::SendReply{Arrived.Origin, Reply});
  });
  BOOST_TEST(Reader.readUntil("whole").find("whole") != std::string::npos);
  BOOST_TEST(Reader.isClosed());
  BOOST_TEST(isDrained(Millis(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
