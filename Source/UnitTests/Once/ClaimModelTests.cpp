#include <boost/test/unit_test.hpp>

#include "UnitTests/Once/ClaimWorld.h"

BOOST_AUTO_TEST_SUITE(ClaimModels)

namespace {

using UnitTests::checkAll;
using UnitTests::CheckResult;
using UnitTests::ClaimWorld;
using UnitTests::FaultBudget;
using UnitTests::Topology;

constexpr std::size_t MaxStates = 2'000'000;

// Takes the append's answer for the claim.
struct AppendAnswerRule {
  static constexpr bool TrustAppendAnswer = true;
};

void expectSafe(Topology Places, FaultBudget Faults) {
  const CheckResult Result =
      checkAll(ClaimWorld<Once::ReadBackRule>(Places, Faults), MaxStates);
  BOOST_TEST_MESSAGE("states " << Result.States << " complete "
                               << Result.IsComplete);
  BOOST_TEST(Result.Violation == "");
  BOOST_TEST(Result.HasDispatched);
  BOOST_TEST(Result.HasReplayed);
  BOOST_TEST(Result.IsComplete);
}

} // namespace

BOOST_AUTO_TEST_CASE(aLostAnswerAFreezeAndADeathKeepItSafe) {
  expectSafe(Topology::Own, {1, 1, 1, false});
}

BOOST_AUTO_TEST_CASE(aFreezeAndADeathAtASharedBatcherKeepItSafe) {
  expectSafe(Topology::Shared, {0, 1, 1, false});
}

// The whole space is too large here, so only a part of it is looked at.
BOOST_AUTO_TEST_CASE(claimsSentToBothBatchersKeepItSafe) {
  const CheckResult Result = checkAll(
      ClaimWorld<Once::ReadBackRule>(Topology::Own, {0, 0, 0, true}), 300'000);
  BOOST_TEST_MESSAGE("states " << Result.States);
  BOOST_TEST(Result.Violation == "");
  BOOST_TEST(Result.HasReplayed);
}

BOOST_AUTO_TEST_CASE(theAppendsAnswerAloneRunsACallTwice) {
  const CheckResult Result =
      checkAll(ClaimWorld<AppendAnswerRule>(Topology::Own, {}), MaxStates);
  BOOST_TEST(Result.Violation == "dispatched twice");
}

BOOST_AUTO_TEST_SUITE_END()
