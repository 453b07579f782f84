#include <boost/test/unit_test.hpp>

#include "Http/BufferBudget.h"

BOOST_AUTO_TEST_SUITE(BufferBudgets)

namespace {

using Common::Millis;
using Ids = std::vector<Http::BufferBudget::HolderId>;

// A budget of 1,000 bytes in which requests of up to 100 bytes are ordinary.
struct Fixture {
  Http::BufferBudget Budget{{.Bytes = 1000,
                             .OrdinaryBytes = 100,
                             .StallTime = Millis(1000),
                             .BytesPerSecond = 50}};
  Common::SteadyTime Start{Millis(1'000'000)};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(GrantsWhatFitsAndRefusesWhatDoesNot, Fixture) {
  BOOST_TEST(Budget.request(1, 600, Start).Granted);
  BOOST_TEST(!Budget.request(2, 500, Start).Granted);
  BOOST_TEST(Budget.request(2, 400, Start).Granted);
  BOOST_TEST(Budget.heldBytes() == 1000U);
  BOOST_TEST(!Budget.request(2, 401, Start).Granted);
  BOOST_TEST(Budget.heldBytes() == 1000U);
  Budget.release(1);
  BOOST_TEST(Budget.heldBytes() == 400U);
  BOOST_TEST(Budget.request(2, 1000, Start).Granted);
}

BOOST_FIXTURE_TEST_CASE(RequestAboveTheWholeBudgetMakesNobodyGiveWay, Fixture) {
  Budget.request(1, 600, Start);
  const auto Decision = Budget.request(2, 1001, Start + Millis(5000));
  BOOST_TEST(!Decision.Granted);
  BOOST_TEST(Decision.GiveWay.empty());
  BOOST_TEST(Budget.heldBytes() == 600U);
}

BOOST_FIXTURE_TEST_CASE(StalledHoldersGiveWayLargestFirst, Fixture) {
  Budget.request(1, 300, Start);
  Budget.request(2, 400, Start);
  Budget.request(3, 300, Start);
  Budget.progressed(3, 300, Start + Millis(900));
  const auto Decision = Budget.request(4, 350, Start + Millis(1000));
  BOOST_TEST(Decision.Granted);
  BOOST_TEST(Decision.GiveWay == Ids{2}, boost::test_tools::per_element());
  BOOST_TEST(Budget.heldBytes() == 950U);
}

BOOST_FIXTURE_TEST_CASE(HoldersThatTrickleGiveWay, Fixture) {
  Budget.request(1, 900, Start);
  for (int Step = 1; Step <= 20; ++Step)
    Budget.progressed(1, 4, Start + Step * Millis(100));
  const auto Decision = Budget.request(2, 900, Start + Millis(2000));
  BOOST_TEST(Decision.Granted);
  BOOST_TEST(Decision.GiveWay == Ids{1}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(LargeHoldersGiveWayToAnOrdinaryRequest, Fixture) {
  Budget.request(1, 50, Start);
  Budget.request(2, 500, Start);
  Budget.request(3, 450, Start);
  BOOST_TEST(!Budget.request(4, 101, Start).Granted);
  const auto Decision = Budget.request(4, 100, Start);
  BOOST_TEST(Decision.Granted);
  BOOST_TEST(Decision.GiveWay == Ids{2}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(CompleteRequestsNeverGiveWay, Fixture) {
  Budget.request(1, 900, Start);
  Budget.setMayGiveWay(1, false);
  BOOST_TEST(!Budget.request(2, 200, Start + Millis(9000)).Granted);
  BOOST_TEST(Budget.request(3, 100, Start + Millis(9000)).Granted);
}

BOOST_FIXTURE_TEST_CASE(ResponsesAreHeldInAnyCase, Fixture) {
  Budget.request(1, 900, Start);
  BOOST_TEST(Budget.record(2, 300, Start) == Ids{1},
             boost::test_tools::per_element());
  BOOST_TEST(Budget.record(2, 1200, Start).empty());
  BOOST_TEST(Budget.heldBytes() == 1200U);
  BOOST_TEST(Budget.record(2, 0, Start).empty());
  BOOST_TEST(Budget.heldBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
