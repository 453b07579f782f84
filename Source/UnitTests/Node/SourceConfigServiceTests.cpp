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
  void cancel() { Open = nullptr; }
  DecodedSet decode(const std::string &Content) const {
    const std::size_t Blank = Content.find(' ');
    DecodedSet Result;
    Result.Number = std::stoll(Content.substr(0, Blank));
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
    Settings.LogWait = std::chrono::seconds(3);
    auto From = std::make_unique<FakeSource>();
    Source = From.get();
    Tested = std::make_unique<Service>(
        Kernel::Context{Worker, Names}, Settings,
        Service::Sinks{Front(InForce), Control(Sent), {}}, std::move(From), 1);
    Tested->start();
    // A peer as new as this node: the source has to be read.
    take(HeldVersion{"peer", 0, false});
  }

  SpreadMessage lastSent() const {
    const Node::ControlMessage &Last = Sent.back();
    const auto *Reply = std::get_if<Node::ReplyEnvelope>(&Last);
    return Wire::decodeSpread(
        Reply ? Reply->Content : std::get<Node::SendEnvelope>(Last).Content);
  }
  void take(const SpreadMessage &Content) {
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
  BOOST_TEST(Sent.Number == 5);
  BOOST_TEST(Sent.Base == 4);
  BOOST_TEST(Sent.Content.Changed.size() < 100);
  // Another node makes the whole of it.
  TestNode Other(Worker, Names, "other");
  Other.Source->answer(4);
  Other.take(Sent);
  BOOST_REQUIRE_EQUAL(Other.InForce.size(), 2);
  BOOST_TEST(Other.InForce.back().Newest.Number == 5);
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

BOOST_FIXTURE_TEST_CASE(APatchOfAnotherBaseChangesNothing, Fixture) {
  Reader.Source->answer(4);
  SetSnapshot Wrong{"peer", 6, CurrentRuleLevel, 4, {"", {}}, 0};
  Wrong.Content.Changed = Wire::makePatch(contentOf(4), contentOf(6));
  Wrong.Hash = Common::hashOf(contentOf(7));
  Reader.take(Wrong);
  Wrong.Base = 5;
  Reader.take(Wrong);
  BOOST_REQUIRE_EQUAL(Reader.InForce.size(), 1);
  BOOST_TEST(Reader.InForce.back().Newest.Number == 4);
}

BOOST_AUTO_TEST_SUITE_END()
