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

// Content is the version, a blank, and the text of the set.
std::string contentOf(Version Number) {
  std::string Text = std::to_string(Number) + " ";
  for (int Each = 0; Each < 300; ++Each)
    Text += "[service s" + std::to_string(Each) + "]\n";
  return Text + "[service of-version-" + std::to_string(Number) + "]\n";
}

// A source whose answers the test gives.
struct FakeSource {
  using OnDone = std::function<void(SourceAnswer)>;

  void readNewest(OnDone Done) { Open = std::move(Done); }
  void readOn(SourcePosition, Common::Micros, OnDone Done) {
    Open = std::move(Done);
  }
  void onProgress(const std::function<void()> &) {}
  void cancel() { Open = nullptr; }
  DecodedSet decode(const std::string &Content) const {
    const std::size_t Blank = Content.find(' ');
    DecodedSet Result;
    Result.SetVersion = std::stoll(Content.substr(0, Blank));
    Result.Set =
        ObjectSetBuilder().input("source", Content.substr(Blank + 1)).build();
    return Result;
  }
  void answer(Version Number) {
    std::exchange(Open, nullptr)({ResultCode::Ok, contentOf(Number), 1, ""});
  }
  void answerNothing() {
    std::exchange(Open, nullptr)({ResultCode::Ok, "", 1, ""});
  }

  OnDone Open;
};

using Front = UnitTests::RecordingSink<Node::ConfigAccepted>;
using Control = UnitTests::RecordingSink<Node::ControlMessage>;
using Service = Node::SourceConfigService<FakeSource, Front, Control>;

// A node with mocks of its source and its neighbours; it runs on the test's
// own thread.
struct TestNode {
  TestNode(Kernel::Task &Worker, Kernel::Registry &Names,
           const std::string &Name) {
    Node::NodeSettings Settings;
    Settings.Name = Name;
    Settings.DataCentre = "leicester";
    Settings.LogWait = FollowOptions().SourceWait;
    auto From = std::make_unique<FakeSource>();
    Source = From.get();
    Tested = std::make_unique<Service>(
        Kernel::Context{Worker, Names}, Settings,
        Service::Sinks{Front(InForce), Control(Sent), {}}, std::move(From), 1);
    Tested->start();
    // A peer as new as this node: the source has to be read.
    take(HeldVersion{"peer", 0, false});
  }

  ReplicationMessage sent(std::size_t Index) const {
    const Node::ControlMessage &Each = Sent.at(Index);
    const auto *Reply = std::get_if<Node::ReplyEnvelope>(&Each);
    return Wire::decodeSpread(
        Reply ? Reply->Content : std::get<Node::SendEnvelope>(Each).Content);
  }
  ReplicationMessage lastSent() const { return sent(Sent.size() - 1); }
  void take(const ReplicationMessage &Content) {
    Tested->handle(Node::EnvelopeArrived{1, Wire::encodeSpread(Content)});
  }
  void ask(Version Held, Common::Micros Wait) {
    SetRequest Asked;
    Asked.Node = "asker";
    Asked.Held = Held;
    Asked.Wait = Wait;
    take(Asked);
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

BOOST_FIXTURE_TEST_CASE(WhoWaitsGetsAPatchOfWhatItHolds, Fixture) {
  Reader.Source->answer(4);
  Reader.ask(4, Common::Millis(1000));
  BOOST_TEST(Reader.Sent.empty());
  Reader.Tested->handle(Node::EnvelopeArrived{
      2, Wire::encodeSpread(SetSnapshot{
             "peer", 5, CurrentRuleLevel, 0, {contentOf(5), {}}, 0})});
  BOOST_REQUIRE_EQUAL(Reader.Sent.size(), 1);
  const auto Sent = std::get<SetSnapshot>(Reader.lastSent());
  BOOST_TEST(Sent.SetVersion == 5);
  BOOST_TEST(Sent.Base == 4);
  BOOST_TEST(Sent.Content.Changed.size() < 100);
  // Another node makes the whole of it.
  TestNode Other(Worker, Names, "other");
  Other.Source->answer(4);
  Other.take(Sent);
  BOOST_REQUIRE_EQUAL(Other.InForce.size(), 2);
  BOOST_TEST(Other.InForce.back().Newest.SetVersion == 5);
  BOOST_TEST(
      Other.InForce.back().Newest.Set->services().contains("of-version-5"));
}

BOOST_FIXTURE_TEST_CASE(WhoIsFarBehindGetsTheWholeSet, Fixture) {
  Reader.Source->answer(9);
  Reader.ask(2, Common::Millis(1000));
  BOOST_REQUIRE_EQUAL(Reader.Sent.size(), 1);
  const auto Sent = std::get<SetSnapshot>(Reader.lastSent());
  BOOST_TEST(Sent.Base == 0);
  BOOST_TEST(Sent.Content.Changed == contentOf(9));
}

BOOST_FIXTURE_TEST_CASE(WithoutTheSourceNobodyIsKeptWaiting, Fixture) {
  Reader.Source->answer(4);
  Reader.take(
      SetSnapshot{"peer", 5, CurrentRuleLevel, 0, {contentOf(5), {}}, 0});
  Reader.ask(5, Common::Millis(0));
  BOOST_TEST(std::get<HeldVersion>(Reader.lastSent()).ReadsLog);
  // A node that never had an answer.
  TestNode Cut(Worker, Names, "cut");
  Cut.take(SetSnapshot{"peer", 5, CurrentRuleLevel, 0, {contentOf(5), {}}, 0});
  Cut.ask(5, Common::Millis(1000));
  BOOST_REQUIRE_EQUAL(Cut.Sent.size(), 1);
  BOOST_TEST(!std::get<HeldVersion>(Cut.lastSent()).ReadsLog);
}

namespace {

// A reader and a node that waits at it, on a running task.
struct Pair {
  static constexpr const char *DataCentre = "leicester";

  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  std::unique_ptr<TestNode> Reader;
  std::unique_ptr<TestNode> Follower;
  std::unique_ptr<Kernel::Timers> Clock;
  std::size_t FromReader = 0;
  std::size_t FromFollower = 0;
  // What the store holds; the reader is cut off from it.
  Version Newest = 0;

  Pair() {
    const auto Ranked = Common::rankByRendezvous(
        std::string("reader/") + DataCentre, {"a", "b"});
    Worker.spawn();
    Worker.runAndWait([&] {
      Reader = std::make_unique<TestNode>(Worker, Names, Ranked[0]);
      Follower = std::make_unique<TestNode>(Worker, Names, Ranked[1]);
      meet(*Reader, Ranked[1]);
      meet(*Follower, Ranked[0]);
      Clock = std::make_unique<Kernel::Timers>(Worker);
      carry();
    });
  }
  ~Pair() {
    Worker.runAndWait([this] {
      Clock.reset();
      Follower.reset();
      Reader.reset();
    });
  }

  static void meet(TestNode &Node, const std::string &Other) {
    Membership::Member Known;
    Known.Node = Other;
    Known.DataCentre = DataCentre;
    Known.Address = "10.0.0.1";
    Node.Tested->handle(Node::MembersChanged{
        std::make_shared<const std::vector<Membership::Member>>(1, Known)});
  }
  // Takes what they send to one another, and answers the follower's reads.
  void carry() {
    deliver(*Reader, FromReader, *Follower);
    deliver(*Follower, FromFollower, *Reader);
    if (Follower->Source->Open && Newest > 0)
      Follower->Source->answer(Newest);
    Clock->after(Common::Millis(5), [this] { carry(); });
  }
  static void deliver(const TestNode &From, std::size_t &Next, TestNode &To) {
    while (Next < From.Sent.size())
      To.take(From.sent(Next++));
  }
  bool waitFor(const std::function<bool()> &Happened, Common::Millis Limit) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    bool Seen = false;
    while (!Seen && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { Seen = Happened(); });
      std::this_thread::sleep_for(Common::Millis(5));
    }
    return Seen;
  }
};

} // namespace

// A whole data centre waited at a reader whose read was dead.
BOOST_FIXTURE_TEST_CASE(AChangeIsInForceInTimeBehindAReaderThatIsCutOff, Pair) {
  constexpr Common::Millis ApplyLimit{2'000};
  // The follower waits at the reader, which then gets a change and is cut off
  // when the next one is acknowledged.
  Worker.runAndWait([this] { Reader->Source->answer(4); });
  Newest = 4;
  const auto Holds = [this](Version Number) {
    return !Follower->InForce.empty() &&
           Follower->InForce.back().Newest.SetVersion == Number;
  };
  BOOST_REQUIRE(
      waitFor([&] { return Holds(4) && !Follower->Source->Open; }, ApplyLimit));
  BOOST_REQUIRE(
      waitFor([&] { return bool(Reader->Source->Open); }, ApplyLimit));
  Worker.runAndWait([this] {
    Reader->Source->answer(5);
    Newest = 6;
  });
  BOOST_TEST(waitFor([&] { return Holds(6); }, ApplyLimit));
}

BOOST_FIXTURE_TEST_CASE(APatchOfAnotherBaseChangesNothing, Fixture) {
  Reader.Source->answer(4);
  SetSnapshot Wrong{"peer", 6, CurrentRuleLevel, 4, {"", {}}, 0};
  Wrong.Content.Changed = Wire::makePatch(contentOf(4), contentOf(6));
  Wrong.Hash = Common::hashOf(contentOf(7));
  Reader.take(Wrong);
  Wrong.Base = 5;
  Reader.take(Wrong);
  BOOST_REQUIRE_EQUAL(Reader.InForce.size(), 1);
  BOOST_TEST(Reader.InForce.back().Newest.SetVersion == 4);
}

BOOST_AUTO_TEST_SUITE_END()
