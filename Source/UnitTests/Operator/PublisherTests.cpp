#include <boost/test/unit_test.hpp>

#include "Common/Error.h"
#include "Config/Checkpoint.h"
#include "Operator/Convergence.h"
#include "Operator/Publisher.h"
#include "UnitTests/FakeLog.h"
#include "Wire/ConfigCodec.h"

BOOST_AUTO_TEST_SUITE(Publishers)

namespace {

struct Fixture {
  UnitTests::FakeLog Log;
  Operator::SyncHttp Transport;

  Operator::Publisher publisher() {
    return Operator::Publisher(Transport, {Log.url(), "config", "checkpoints"});
  }
  Operator::Publication publish(const std::string &Text,
                                std::optional<Config::Version> Base = {}) {
    return publisher().publish(Text, "me", "", Base);
  }
  static auto hasCode(Common::ResultCode Code) {
    return
        [Code](const Common::Error &Failure) { return Failure.code() == Code; };
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SearchesForTheRecordBeforeAppendingAgain, Fixture) {
  Log.loseAnswers(1);
  BOOST_TEST(publish("[service a]\n").Outcome.isAccepted());
  BOOST_TEST(Log.next("config") == 2);
}

BOOST_FIXTURE_TEST_CASE(LostRaceReportsWinnerAndConflicts, Fixture) {
  publish("[service a]\n[service b]\n");
  publish("[service a]\nfallback = b\n[service b]\n[service x]\n");
  const Operator::Publication LostRace =
      publish("[service a]\n[service b]\nfallback = a\n[service x]\n"
              "fallback = a\n",
              1);
  BOOST_TEST((LostRace.Outcome.Code == Common::ResultCode::PublishRaceLost));
  BOOST_TEST(LostRace.Outcome.Winner == 2);
  BOOST_TEST(LostRace.Conflicts == std::vector<std::string>{"service x"},
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(RejectsUnknownBaseVersion, Fixture) {
  BOOST_CHECK_EXCEPTION(publish("[service a]\n", 3), Common::Error,
                        hasCode(Common::ResultCode::VersionUnknown));
  BOOST_TEST(Log.next("config") == 1);
}

BOOST_FIXTURE_TEST_CASE(StartsFromCheckpointAfterRecordsExpire, Fixture) {
  Operator::Publisher First = publisher();
  First.publish("[service a]\n[service b]\n", "me", "", {});
  const auto Chunks =
      Config::splitCheckpoint("c", First.history().history(), 8);
  Log.expireAll();
  // Without records and checkpoints there is no state to start from.
  BOOST_CHECK_EXCEPTION(publish("[service c]\n"), Common::Error,
                        hasCode(Common::ResultCode::HistoryGap));
  for (const Config::CheckpointChunk &Chunk : Chunks)
    Log.append("checkpoints", Wire::encodeChunk(Chunk));
  const Operator::Publication Next = publish("[service c]\n");
  BOOST_TEST(Next.Outcome.isAccepted());
  BOOST_TEST(Next.Outcome.Base == 1);
  BOOST_TEST(Next.Outcome.Offset == 2);
}

BOOST_AUTO_TEST_CASE(ParsesVersionFromStatusPage) {
  BOOST_TEST(Operator::parseStatusVersion("[node]\nversion = 12\n").value() ==
             12);
  BOOST_TEST(!Operator::parseStatusVersion("[node]\n").has_value());
}

BOOST_FIXTURE_TEST_CASE(ReportsLaggingNodes, Fixture) {
  Kernel::Task Worker("node");
  Worker.spawn();
  std::unique_ptr<Http::Server> Node;
  Worker.runAndWait([&] {
    Node = Http::ServerBuilder(Worker)
               .onRequest([&](Http::ExchangeId Id, const auto &) {
                 Node->respond(Id, {200, {}, "[node]\nversion = 4\n"});
               })
               .build();
  });
  const std::string Address = "127.0.0.1:" + std::to_string(Node->port());
  BOOST_TEST(
      Operator::waitForNodes(Transport, {Address}, 4, Common::Millis(200))
          .empty());
  const auto Lagging =
      Operator::waitForNodes(Transport, {Address}, 5, Common::Millis(200));
  BOOST_REQUIRE(Lagging.size() == 1);
  BOOST_TEST(Lagging[0].Version.value() == 4);
  Worker.runAndWait([&] { Node.reset(); });
}

BOOST_AUTO_TEST_SUITE_END()
