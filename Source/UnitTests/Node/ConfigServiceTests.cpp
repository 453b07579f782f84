#include <thread>

#include <boost/test/unit_test.hpp>

#include "Node/ConfigService.h"
#include "UnitTests/FakeLog.h"
#include "UnitTests/RecordingSink.h"

BOOST_AUTO_TEST_SUITE(ConfigServices)

namespace {

using Front = UnitTests::RecordingSink<Node::FrontMessage>;
using Admin = UnitTests::RecordingSink<Node::AdminMessage>;
using Control = UnitTests::RecordingSink<Node::ControlMessage>;
using Service = Node::ConfigService<Front, Admin, Control>;

Config::Record proposal(Config::Version Base) {
  Config::Record Result;
  Result.Id = "id-" + std::to_string(Base);
  Result.Base = Base;
  Result.SetText = "[service a]\n[service b" + std::to_string(Base) + "]\n";
  return Result;
}

// The service between a log and mocks of its neighbours.
struct Fixture {
  UnitTests::FakeLog Log;
  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  std::vector<Node::FrontMessage> ToFront;
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
          Service::Sinks{Front(ToFront), Admin(ToAdmin), Control(ToControl)});
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

  // Waits for an event on the task, at most ten seconds.
  void waitFor(const std::function<bool()> &Happened) {
    const auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    bool Seen = false;
    while (!Seen && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { Seen = Happened(); });
      std::this_thread::sleep_for(Common::Millis(5));
    }
    BOOST_REQUIRE(Seen);
  }
  Config::Version lastInForce() {
    return ToFront.empty() ? 0
                           : std::get<Node::ConfigAccepted>(ToFront.back())
                                 .Newest.SetVersion;
  }
  bool hasRead(const std::string &Kind) {
    return std::any_of(
        ToAdmin.begin(), ToAdmin.end(), [&](const Node::AdminMessage &Each) {
          const auto *Part = std::get_if<Node::ConfigTraffic>(&Each);
          return Part && Part->ByKind.contains(Kind);
        });
  }
  // Two versions that expire; their checkpoint in small chunks.
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

BOOST_FIXTURE_TEST_CASE(LoadsACheckpointWhenItsOffsetExpired, Fixture) {
  for (const Config::CheckpointChunk &Each : expireTwoVersions())
    Log.append("checkpoints", Wire::encodeChunk(Each));
  start();
  waitFor([this] { return lastInForce() == 2; });
  Log.append("config", Wire::encodeRecord(proposal(2)));
  waitFor([this] { return lastInForce() == 3; });
}

BOOST_FIXTURE_TEST_CASE(NeverStartsFromWhatIsLeft, Fixture) {
  auto Chunks = expireTwoVersions();
  Chunks.erase(Chunks.begin() + 1);
  for (const Config::CheckpointChunk &Each : Chunks)
    Log.append("checkpoints", Wire::encodeChunk(Each));
  // On its own this record would be sound.
  Log.append("config", Wire::encodeRecord(proposal(0)));
  start();
  waitFor([this] { return hasRead("checkpoint-read"); });
  BOOST_TEST(ToFront.empty());
}

BOOST_FIXTURE_TEST_CASE(WritesACheckpointOfItsVersion, Fixture) {
  Log.append("config", Wire::encodeRecord(proposal(0)));
  start();
  waitFor([this] { return Log.next("checkpoints") == 2; });
}

BOOST_AUTO_TEST_SUITE_END()
