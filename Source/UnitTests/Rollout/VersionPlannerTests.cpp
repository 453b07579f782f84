#include <boost/test/unit_test.hpp>

#include "Rollout/VersionPlanner.h"
#include "Routing/VersionedServers.h"

BOOST_AUTO_TEST_SUITE(VersionPlanners)

namespace {

using Common::Millis;
using Common::SteadyTime;
using Rollout::Stage;

const SteadyTime Start = SteadyTime(Millis(1'000));

struct Fixture {
  Rollout::VersionPlanner Planner{"n", Rollout::Bounds{0.1}};
  Rollout::ProgressTable Table;

  void reach(Stage Reached) {
    Table.merge({{"s", "v2", Common::Micros(12'000'000), 7}, Reached, Start});
  }
  Routing::VersionPolicy plan(const std::map<std::string, int> &Counts,
                              Common::Duration After = Millis(0)) {
    return Planner.plan(Table, {{"s", Counts}}, Start + After);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(HoldsANewVersionBackForAWhile, Fixture) {
  BOOST_TEST(plan({{"v1", 3}}).empty());
  const auto Held = plan({{"v1", 3}, {"v2", 1}}, Millis(5'000));
  BOOST_REQUIRE(Held.contains("s"));
  BOOST_TEST(Held.at("s").Target == "v2");
  BOOST_TEST(Held.at("s").TargetShare == 0);
  BOOST_TEST(plan({{"v1", 3}, {"v2", 1}}, Millis(8'000)).empty());
}

BOOST_FIXTURE_TEST_CASE(HoldsNothingBackWhenOnlyTheNewVersionIsLeft, Fixture) {
  plan({{"v1", 3}});
  BOOST_TEST(plan({{"v2", 1}}, Millis(5'000)).empty());
}

BOOST_FIXTURE_TEST_CASE(ANodeThatHasJustStartedHoldsTheSmallerVersion,
                        Fixture) {
  const auto Held = plan({{"v1", 9}, {"v2", 4}});
  BOOST_REQUIRE(Held.contains("s"));
  BOOST_TEST(Held.at("s").Target == "v2");
}

BOOST_FIXTURE_TEST_CASE(EachStageHasItsShare, Fixture) {
  const std::map<std::string, int> Counts = {{"v1", 40}, {"v2", 15}};
  reach(Stage::Trial);
  BOOST_TEST(plan(Counts).at("s").TargetShare < 0.07);
  BOOST_TEST(plan(Counts).at("s").MaxTargetServers == 2);
  reach(Stage::Full);
  BOOST_TEST(plan(Counts).at("s").TargetShare == 1);
  BOOST_TEST(plan(Counts).at("s").MaxTargetServers == 0);
  reach(Stage::RolledBack);
  BOOST_TEST(plan(Counts).at("s").TargetShare == 0);
  BOOST_TEST(plan(Counts, Millis(80'000)).empty());
}

BOOST_AUTO_TEST_CASE(NoCallIsRefusedForAVersion) {
  const std::vector<Routing::ServerEntry> Servers = {
      {"i1", "10.0.0.1:1", "here", 6, "v2"}};
  Routing::DividedServers Divided(Servers, "s", {"v2", 0, 0, 0.5});
  BOOST_REQUIRE(Divided.candidates().size() == 1);
  BOOST_TEST(Divided.candidates()[0]->size() == 1);
}

BOOST_AUTO_TEST_CASE(CallsMeantForOtherVersionsNeverGoToTheTarget) {
  const std::vector<Routing::ServerEntry> Servers = {
      {"i1", "10.0.0.1:1", "here", 6, "v1"},
      {"i2", "10.0.0.2:1", "here", 6, "v2"}};
  Routing::DividedServers Divided(Servers, "s", {"v2", 0.1, 0, 0});
  int Due = 0;
  for (int Call = 0; Call < 100; ++Call) {
    const auto Lists = Divided.candidates();
    BOOST_TEST(Lists.back()->front().Version == "v1");
    Due += Lists.size() == 2 ? 1 : 0;
    Divided.onChosen(Lists.front()->front());
  }
  BOOST_TEST(Due >= 9);
  BOOST_TEST(Due <= 10);
}

BOOST_AUTO_TEST_SUITE_END()
