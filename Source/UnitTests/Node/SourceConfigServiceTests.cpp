#include <thread>

#include <boost/test/unit_test.hpp>

#include "Common/Rendezvous.h"
#include "Config/ObjectSetBuilder.h"
#include "Node/SourceConfigService.h"
#include "UnitTests/RecordingSink.h"

BOOST_AUTO_TEST_SUITE(SourceConfigServices)

namespace {

using namespace Config;
using Common::ResultCode;

// The content consists of the version, a blank and the text of the set.
std::string contentOf(Version Number) {
  std::string Text = std::to_string(Number) + " ";
  for (int Index = 0; Index < 300; ++Index)
    Text += "[service s" + std::to_string(Index) + "]\n";
  return Text + "[service of-version-" + std::to_string(Number) + "]\n";
}

// A source that answers reads on request of the test.
struct FakeSource {
  using OnDone = std::function<void(SourceAnswer)>;

  void readNewest(OnDone Done) { PendingRead = std::move(Done); }
  void readOn(SourcePosition, Common::Micros, OnDone Done) {
    PendingRead = std::move(Done);
  }
  void onProgress(const std::function<void()> &) {}
  void cancel() { PendingRead = nullptr; }
  DecodedSet decode(const std::string &Content) const {
    const std::size_t Separator = Content.find(' ');
    DecodedSet Result;
    Result.SetVersion = std::stoll(Content.substr(0, Separator));
    Result.Set = ObjectSetBuilder()
                     .input("source", Content.substr(Separator + 1))
                     .build();
    return Result;
  }
  void answer(Version Number) {
    std::exchange(PendingRead,
                  nullptr)({ResultCode::Ok, contentOf(Number), 1, ""});
  }
  void answerNothingInEra(Recovery::StoreEra Era) {
    std::exchange(PendingRead, nullptr)({ResultCode::Ok, "", 1, "", Era});
  }
  void answerNothing() {
    std::exchange(PendingRead, nullptr)({ResultCode::Ok, "", 1, ""});
  }

  OnDone PendingRead;
};

using Ingress = UnitTests::RecordingSink<Node::ConfigAccepted>;
using Control = UnitTests::RecordingSink<Node::ControlMessage>;
using Service = Node::SourceConfigService<FakeSource, Ingress, Control>;

constexpr const char *DataCentre = "leicester";

// A node with a fake source and recording sinks. Without a running task, it is
// driven on the thread of the test.
struct TestNode {
  TestNode(Kernel::Task &Worker, Kernel::Registry &Names,
           const std::string &Name) {
    Node::NodeSettings Settings;
    Settings.Name = Name;
    Settings.DataCentre = DataCentre;
    Settings.LogWait = FollowOptions().SourceWait;
    auto NewSource = std::make_unique<FakeSource>();
    Source = NewSource.get();
    Tested = std::make_unique<Service>(
        Kernel::Context{Worker, Names}, Settings,
        Service::Sinks{Ingress(InForce), Control(Sent), {}},
        std::move(NewSource), 1);
    Tested->start();
    // The peer has no set either, so the node has to read the source.
    receive(HeldVersion{"peer", 0, false});
  }

  ReplicationMessage sent(std::size_t Index) const {
    const Node::ControlMessage &Message = Sent.at(Index);
    const auto *Reply = std::get_if<Node::ReplyEnvelope>(&Message);
    return Wire::decodeReplication(
        Reply ? Reply->Content : std::get<Node::SendEnvelope>(Message).Content);
  }
  ReplicationMessage lastSent() const { return sent(Sent.size() - 1); }
  void receive(const ReplicationMessage &Content) {
    Tested->handle(Node::EnvelopeArrived{1, Wire::encodeReplication(Content)});
  }
  void request(Version Held, Common::Micros Wait) {
    SetRequest Request;
    Request.Node = "asker";
    Request.Held = Held;
    Request.Wait = Wait;
    receive(Request);
  }

  // Makes these nodes the other live members of the data centre.
  void introduce(const std::vector<std::string> &Others) {
    std::vector<Membership::Member> Members;
    for (const std::string &Other : Others) {
      Membership::Member Peer;
      Peer.Node = Other;
      Peer.DataCentre = DataCentre;
      Peer.Address = "10.0.0." + std::to_string(Members.size() + 1);
      Members.push_back(std::move(Peer));
    }
    Tested->handle(Node::MembersChanged{
        std::make_shared<const std::vector<Membership::Member>>(
            std::move(Members))});
  }

  std::vector<Node::ConfigAccepted> InForce;
  std::vector<Node::ControlMessage> Sent;
  FakeSource *Source = nullptr;
  std::unique_ptr<Service> Tested;
};

struct Fixture {
  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  TestNode Reader{Worker, Names, "reader"};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(WaitingPeerGetsAPatchOfItsVersion, Fixture) {
  Reader.Source->answer(4);
  Reader.request(4, Common::Millis(1000));
  BOOST_TEST(Reader.Sent.empty());
  Reader.Tested->handle(Node::EnvelopeArrived{
      2, Wire::encodeReplication(SetSnapshot{
             "peer", 5, CurrentRuleLevel, 0, {contentOf(5), {}}, 0})});
  BOOST_REQUIRE_EQUAL(Reader.Sent.size(), 1);
  const auto Sent = std::get<SetSnapshot>(Reader.lastSent());
  BOOST_TEST(Sent.SetVersion == 5);
  BOOST_TEST(Sent.Base == 4);
  BOOST_TEST(Sent.Content.Changed.size() < 100);
  // Another node restores the whole set from the patch.
  TestNode Other(Worker, Names, "other");
  Other.Source->answer(4);
  Other.receive(Sent);
  BOOST_REQUIRE_EQUAL(Other.InForce.size(), 2);
  BOOST_TEST(Other.InForce.back().Newest.SetVersion == 5);
  BOOST_TEST(
      Other.InForce.back().Newest.Set->services().contains("of-version-5"));
}

BOOST_FIXTURE_TEST_CASE(PeerFarBehindGetsTheWholeSet, Fixture) {
  Reader.Source->answer(9);
  Reader.request(2, Common::Millis(1000));
  BOOST_REQUIRE_EQUAL(Reader.Sent.size(), 1);
  const auto Sent = std::get<SetSnapshot>(Reader.lastSent());
  BOOST_TEST(Sent.Base == 0);
  BOOST_TEST(Sent.Content.Changed == contentOf(9));
}

BOOST_FIXTURE_TEST_CASE(PeersAreAnsweredAtOnceWithoutTheSource, Fixture) {
  Reader.Source->answer(4);
  Reader.receive(
      SetSnapshot{"peer", 5, CurrentRuleLevel, 0, {contentOf(5), {}}, 0});
  Reader.request(5, Common::Millis(0));
  BOOST_TEST(std::get<HeldVersion>(Reader.lastSent()).ReadsLog);
  // A node whose source has never answered.
  TestNode Isolated(Worker, Names, "cut");
  Isolated.receive(
      SetSnapshot{"peer", 5, CurrentRuleLevel, 0, {contentOf(5), {}}, 0});
  Isolated.request(5, Common::Millis(1000));
  BOOST_REQUIRE_EQUAL(Isolated.Sent.size(), 1);
  BOOST_TEST(!std::get<HeldVersion>(Isolated.lastSent()).ReadsLog);
}

namespace {

// A reader and a node that long-polls it, on a running task.
struct ReaderAndFollower {
  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  std::unique_ptr<TestNode> Reader;
  std::unique_ptr<TestNode> Follower;
  std::unique_ptr<Kernel::Timers> Clock;
  std::size_t FromReader = 0;
  std::size_t FromFollower = 0;
  // The newest version of the store, which answers the follower only.
  Version Newest = 0;

  ReaderAndFollower() {
    const auto Ranked = Common::rankByRendezvous(
        std::string("reader/") + DataCentre, {"a", "b"});
    Worker.spawn();
    Worker.runAndWait([&] {
      Reader = std::make_unique<TestNode>(Worker, Names, Ranked[0]);
      Follower = std::make_unique<TestNode>(Worker, Names, Ranked[1]);
      introduce(*Reader, Ranked[1]);
      introduce(*Follower, Ranked[0]);
      Clock = std::make_unique<Kernel::Timers>(Worker);
      exchangeMessages();
    });
  }
  ~ReaderAndFollower() {
    Worker.runAndWait([this] {
      Clock.reset();
      Follower.reset();
      Reader.reset();
    });
  }

  static void introduce(TestNode &Node, const std::string &Other) {
    Node.introduce({Other});
  }
  // Delivers the messages between both nodes and answers the follower's reads.
  void exchangeMessages() {
    deliver(*Reader, FromReader, *Follower);
    deliver(*Follower, FromFollower, *Reader);
    if (Follower->Source->PendingRead && Newest > 0)
      Follower->Source->answer(Newest);
    Clock->after(Common::Millis(5), [this] { exchangeMessages(); });
  }
  static void deliver(const TestNode &Sender, std::size_t &Next,
                      TestNode &Receiver) {
    while (Next < Sender.Sent.size())
      Receiver.receive(Sender.sent(Next++));
  }
  bool waitFor(const std::function<bool()> &Condition, Common::Millis Limit) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { IsMet = Condition(); });
      std::this_thread::sleep_for(Common::Millis(5));
    }
    return IsMet;
  }
};

} // namespace

// Guards against a data centre that stays on an old set because all its nodes
// long-poll a reader whose own read of the source never returns.
BOOST_FIXTURE_TEST_CASE(ChangeIsInForceInTimeWhenTheReaderLosesTheSource,
                        ReaderAndFollower) {
  constexpr Common::Millis ApplyLimit{2'000};
  // The follower long-polls the reader. The reader receives version 5 and is
  // then cut off from the source, which acknowledges version 6.
  Worker.runAndWait([this] { Reader->Source->answer(4); });
  Newest = 4;
  const auto Holds = [this](Version Number) {
    return !Follower->InForce.empty() &&
           Follower->InForce.back().Newest.SetVersion == Number;
  };
  BOOST_REQUIRE(waitFor(
      [&] { return Holds(4) && !Follower->Source->PendingRead; }, ApplyLimit));
  BOOST_REQUIRE(
      waitFor([&] { return bool(Reader->Source->PendingRead); }, ApplyLimit));
  Worker.runAndWait([this] {
    Reader->Source->answer(5);
    Newest = 6;
  });
  BOOST_TEST(waitFor([&] { return Holds(6); }, ApplyLimit));
}

// A reader answers as soon as its own read has shown that nothing is newer, so
// that the nodes that long-poll it detect its silence early.
BOOST_FIXTURE_TEST_CASE(WaitingPeersAreAnsweredAtTheEndOfARead,
                        ReaderAndFollower) {
  constexpr Common::Millis Limit{2'000};
  Worker.runAndWait([this] { Reader->Source->answer(4); });
  BOOST_REQUIRE(
      waitFor([&] { return bool(Reader->Source->PendingRead); }, Limit));
  Worker.runAndWait([&] {
    const std::size_t SentBefore = Reader->Sent.size();
    Reader->request(4, Limit);
    BOOST_TEST(Reader->Sent.size() == SentBefore);
    Reader->Source->answerNothing();
    BOOST_REQUIRE(Reader->Sent.size() > SentBefore);
    const auto Reply = std::get<HeldVersion>(Reader->lastSent());
    BOOST_TEST(Reply.Held == 4);
    BOOST_TEST(Reply.ReadsLog);
  });
}

// Guards against a data centre that stays on an old set because both nodes that
// read the source for it lost power right after a series of changes.
BOOST_AUTO_TEST_CASE(ChangeIsInForceInTimeWhenBothReadersLosePower) {
  constexpr Common::Millis ApplyLimit{2'000};
  Kernel::Task Worker("t");
  Kernel::Registry Names;
  const auto Ranked = Common::rankByRendezvous(
      std::string("reader/") + DataCentre, {"a", "b", "c"});
  std::unique_ptr<TestNode> Third;
  Worker.spawn();
  Worker.runAndWait([&] {
    Third = std::make_unique<TestNode>(Worker, Names, Ranked[2]);
    Third->introduce({Ranked[0], Ranked[1]});
    Third->Source->answer(4);
    // The reader delivers the first change of the series. It does not answer
    // any more when the second one is acknowledged, and nor does the other.
    Third->receive(
        SetSnapshot{Ranked[0], 5, CurrentRuleLevel, 0, {contentOf(5), {}}, 0});
  });
  const auto End = std::chrono::steady_clock::now() + ApplyLimit;
  bool IsInForce = false;
  while (!IsInForce && std::chrono::steady_clock::now() < End) {
    Worker.runAndWait([&] {
      if (Third->Source->PendingRead)
        Third->Source->answer(6);
      IsInForce = Third->InForce.back().Newest.SetVersion == 6;
    });
    std::this_thread::sleep_for(Common::Millis(5));
  }
  BOOST_TEST(IsInForce);
  Worker.runAndWait([&] { Third.reset(); });
}

// A node that long-polls this one learns from the answer that the source has
// come back from an older copy, as it does not read the source itself. The
// answer that shows this proves nothing about newer versions.
BOOST_FIXTURE_TEST_CASE(WaitingPeersLearnTheEraOfTheSource, Fixture) {
  Reader.Source->answerNothingInEra(1);
  Reader.request(0, Common::Millis(1000));
  Reader.Source->PendingRead = nullptr;
  Reader.Tested->handle(Node::StoreEraChanged{2});
  // The read of the newest set replaces the long poll.
  BOOST_TEST(Reader.Sent.empty());
  BOOST_REQUIRE(Reader.Source->PendingRead);
  Reader.Source->answerNothingInEra(2);
  BOOST_REQUIRE_EQUAL(Reader.Sent.size(), 1);
  const auto Reply = std::get<HeldVersion>(Reader.lastSent());
  BOOST_TEST(Reply.ReadsLog);
  BOOST_TEST((Reply.SourceEra == 2));
}

BOOST_FIXTURE_TEST_CASE(PatchOfAnotherBaseIsIgnored, Fixture) {
  Reader.Source->answer(4);
  SetSnapshot Mismatched{"peer", 6, CurrentRuleLevel, 4, {"", {}}, 0};
  Mismatched.Content.Changed = Wire::makePatch(contentOf(4), contentOf(6));
  Mismatched.Hash = Common::hashOf(contentOf(7));
  Reader.receive(Mismatched);
  Mismatched.Base = 5;
  Reader.receive(Mismatched);
  BOOST_REQUIRE_EQUAL(Reader.InForce.size(), 1);
  BOOST_TEST(Reader.InForce.back().Newest.SetVersion == 4);
}

BOOST_FIXTURE_TEST_CASE(MalformedPeerMessageIsRefused, Fixture) {
  BOOST_CHECK_NO_THROW(
      Reader.Tested->handle(Node::EnvelopeArrived{1, "no message"}));
  Reader.Source->answer(1);
  BOOST_TEST(Reader.InForce.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
