#include <thread>

#include <boost/test/unit_test.hpp>

#include "Node/ConfigService.h"
#include "UnitTests/FakeLog.h"
#include "UnitTests/RecordingSink.h"

BOOST_AUTO_TEST_SUITE(ConfigServices)

namespace {

using Ingress = UnitTests::RecordingSink<Node::IngressMessage>;
using Admin = UnitTests::RecordingSink<Node::AdminMessage>;
using Control = UnitTests::RecordingSink<Node::ControlMessage>;
using Service = Node::ConfigService<Ingress, Admin, Control>;

Config::Record proposal(Config::Version Base) {
  Config::Record Result;
  Result.Id = "id-" + std::to_string(Base);
  Result.Base = Base;
  Result.SetText = "[service a]\n[service b" + std::to_string(Base) + "]\n";
  return Result;
}

// The service under test between a fake log and recording sinks.
struct Fixture {
  UnitTests::FakeLog Log;
  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  std::vector<Node::IngressMessage> ToIngress;
  std::vector<Node::AdminMessage> ToAdmin;
  std::vector<Node::ControlMessage> ToControl;
  std::unique_ptr<Service> Tested;

  void start() {
    Node::NodeSettings Settings;
    Settings.Name = "n";
    Settings.DataCentre = "leicester";
    Settings.LogUrl = Log.url();
    Settings.LogStream = "config";
    Settings.CheckpointStream = "checkpoints";
    Settings.LogWait = std::chrono::seconds(1);
    Settings.CheckpointInterval = std::chrono::hours(1);
    Worker.spawn();
    Worker.runAndWait([&] {
      Tested = std::make_unique<Service>(
          Kernel::Context{Worker, Names}, Settings,
          Service::Sinks{Ingress(ToIngress), Admin(ToAdmin),
                         Control(ToControl)});
      Tested->start();
    });
  }
  ~Fixture() {
    if (Tested)
      Worker.runAndWait([this] {
        Tested->stop();
        Tested.reset();
      });
  }

  // Evaluates the condition on the task until it holds, for at most ten
  // seconds.
  void waitFor(const std::function<bool()> &Condition) {
    const auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { IsMet = Condition(); });
      std::this_thread::sleep_for(Common::Millis(5));
    }
    BOOST_REQUIRE(IsMet);
  }
  Config::Version lastInForce() {
    return ToIngress.empty() ? 0
                             : std::get<Node::ConfigAccepted>(ToIngress.back())
                                   .Newest.SetVersion;
  }
  bool hasRead(const std::string &Kind) {
    return std::any_of(
        ToAdmin.begin(), ToAdmin.end(), [&](const Node::AdminMessage &Message) {
          const auto *Traffic = std::get_if<Node::ConfigTraffic>(&Message);
          return Traffic && Traffic->ByKind.contains(Kind);
        });
  }
  // Appends two versions that then expire, and returns their checkpoint in
  // small chunks.
  std::vector<Config::CheckpointChunk> expireTwoVersions() {
    Config::AcceptedHistory History;
    for (Config::Version Base = 0; Base < 2; ++Base) {
      Log.append("config", Wire::encodeRecord(proposal(Base)));
      History.apply(Base + 1, proposal(Base));
    }
    Log.expireAll();
    return Config::splitCheckpoint("c", History, 9);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RestoresACheckpointWhenItsOffsetExpired, Fixture) {
  for (const Config::CheckpointChunk &Chunk : expireTwoVersions())
    Log.append("checkpoints", Wire::encodeChunk(Chunk));
  start();
  waitFor([this] { return lastInForce() == 2; });
  Log.append("config", Wire::encodeRecord(proposal(2)));
  waitFor([this] { return lastInForce() == 3; });
}

BOOST_FIXTURE_TEST_CASE(RefusesToStartFromAnIncompleteHistory, Fixture) {
  auto Chunks = expireTwoVersions();
  Chunks.erase(Chunks.begin() + 1);
  for (const Config::CheckpointChunk &Chunk : Chunks)
    Log.append("checkpoints", Wire::encodeChunk(Chunk));
  // This record would be valid as the first record of a history.
  Log.append("config", Wire::encodeRecord(proposal(0)));
  start();
  waitFor([this] { return hasRead("checkpoint-read"); });
  BOOST_TEST(ToIngress.empty());
}

BOOST_FIXTURE_TEST_CASE(WritesACheckpointOfTheCurrentVersion, Fixture) {
  Log.append("config", Wire::encodeRecord(proposal(0)));
  start();
  waitFor([this] { return Log.next("checkpoints") == 2; });
}

BOOST_AUTO_TEST_SUITE_END()
