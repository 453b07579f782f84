#include <boost/test/unit_test.hpp>

#include "UnitTests/Once/ClaimModel.h"

BOOST_AUTO_TEST_SUITE(ClaimModels)

namespace {

using UnitTests::ClaimModel;
using UnitTests::ExplorationResult;
using UnitTests::exploreStates;
using UnitTests::FaultBudget;
using UnitTests::Topology;

constexpr std::size_t MaxStates = 2'000'000;

// Treats a successful append as a won claim, without reading it back.
struct AppendResponsePolicy {
  static constexpr bool TrustAppendResponse = true;
};

void expectAtMostOnce(Topology Batchers, FaultBudget Faults) {
  const ExplorationResult Result = exploreStates(
      ClaimModel<Once::ReadBackPolicy>(Batchers, Faults), MaxStates);
  BOOST_TEST_MESSAGE("states " << Result.States << " complete "
                               << Result.IsComplete);
  BOOST_TEST(Result.Violation == "");
  BOOST_TEST(Result.HasDispatched);
  BOOST_TEST(Result.HasReplayed);
  BOOST_TEST(Result.IsComplete);
}

} // namespace

BOOST_AUTO_TEST_CASE(runsAtMostOnceWithALostResponseAFreezeAndACrash) {
  expectAtMostOnce(Topology::Own, {1, 1, 1, false});
}

BOOST_AUTO_TEST_CASE(runsAtMostOnceWithAFreezeAndACrashAtASharedBatcher) {
  expectAtMostOnce(Topology::Shared, {0, 1, 1, false});
}

// The state space is too large for a complete search, so only part of it is
// searched.
BOOST_AUTO_TEST_CASE(runsAtMostOnceWhenClaimsAreSentToBothBatchers) {
  const ExplorationResult Result = exploreStates(
      ClaimModel<Once::ReadBackPolicy>(Topology::Own, {0, 0, 0, true}),
      300'000);
  BOOST_TEST_MESSAGE("states " << Result.States);
  BOOST_TEST(Result.Violation == "");
  BOOST_TEST(Result.HasReplayed);
}

BOOST_AUTO_TEST_CASE(runsACallTwiceIfAnAppendResponseCountsAsAWin) {
  const ExplorationResult Result = exploreStates(
      ClaimModel<AppendResponsePolicy>(Topology::Own, {}), MaxStates);
  BOOST_TEST(Result.Violation == "dispatched twice");
}

BOOST_AUTO_TEST_SUITE_END()
