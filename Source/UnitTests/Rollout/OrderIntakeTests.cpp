#include <boost/test/unit_test.hpp>

#include "Rollout/OrderIntake.h"

BOOST_AUTO_TEST_SUITE(OrderIntakes)

namespace {

using namespace Rollout;

Order order(Recovery::StoreEra Era, std::int64_t Position,
            const std::string &Version = "v2") {
  return {"s", Version, Common::Millis(12'000), positionInEra(Era, Position)};
}

Progress known(const Order &Ordered) {
  return {Ordered, Stage::Completed, Common::SteadyTime()};
}

} // namespace

BOOST_AUTO_TEST_CASE(BeginsOrdersThatAreReadOn) {
  OrderIntake Intake;
  BOOST_TEST(
      (Intake.handleOrder(order(1, 4), nullptr, true) == OrderStep::Resume));
  BOOST_TEST(
      (Intake.handleOrder(order(1, 4), nullptr, false) == OrderStep::Begin));
  const Progress Known = known(order(1, 4));
  BOOST_TEST(
      (Intake.handleOrder(order(1, 4), &Known, false) == OrderStep::Skip));
  BOOST_TEST(
      (Intake.handleOrder(order(1, 3, "v1"), &Known, true) == OrderStep::Skip));
  // The same order once more is a new one.
  BOOST_TEST(
      (Intake.handleOrder(order(1, 5), &Known, false) == OrderStep::Begin));
}

// Guards against a roll-out that begins once more, or not at all, because the
// store came back from an older copy and gave out the position of its order
// again.
BOOST_AUTO_TEST_CASE(AnOrderThatIsWrittenAgainIsTheSame) {
  const Progress Known = known(order(1, 9));
  // The copy holds the order, or the operator writes it again.
  for (const bool IsFirstRead : {true, false}) {
    OrderIntake Intake;
    for (int Read = 0; Read < 2; ++Read)
      BOOST_TEST((Intake.handleOrder(order(2, 6), &Known, IsFirstRead) ==
                  OrderStep::Skip));
    BOOST_TEST(
        (Intake.handleOrder(order(2, 7), &Known, false) == OrderStep::Begin));
  }
}

BOOST_AUTO_TEST_CASE(AnOrderOfALaterEraIsNewWhateverItsPosition) {
  const Progress Known = known(order(1, 9));
  OrderIntake Intake;
  BOOST_TEST((Intake.handleOrder(order(2, 3, "v3"), &Known, false) ==
              OrderStep::Begin));
  BOOST_TEST(isOfLaterEra(order(2, 3), order(1, 9)));
  BOOST_TEST(!isOfLaterEra(order(2, 9), order(2, 3)));
}

BOOST_AUTO_TEST_CASE(EachDrillMayBringTheOrderBack) {
  const Progress Known = known(order(1, 9));
  OrderIntake Intake;
  Intake.handleOrder(order(2, 6), &Known, true);
  Intake.handleStoreRestored();
  BOOST_TEST(
      (Intake.handleOrder(order(3, 7), &Known, true) == OrderStep::Skip));
}

// A store without eras counts positions as before.
BOOST_AUTO_TEST_CASE(PositionsWithoutErasStayAsTheyAre) {
  BOOST_TEST(positionInEra(std::nullopt, 7) == 7);
}

BOOST_AUTO_TEST_SUITE_END()
