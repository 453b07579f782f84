#include <boost/test/unit_test.hpp>

#include "Recovery/RewriteSchedule.h"

BOOST_AUTO_TEST_SUITE(RewriteSchedules)

namespace {

using namespace Recovery;
using Common::Millis;

const Common::SteadyTime Start{Millis(1'000)};

} // namespace

BOOST_AUTO_TEST_CASE(WritesOnlyAfterTheStoreHasComeBack) {
  RewriteSchedule Schedule(1);
  BOOST_TEST((Schedule.observe(1, Start) == EraOrder::First));
  BOOST_TEST(!Schedule.dueAt().has_value());
  BOOST_TEST((Schedule.observe(2, Start) == EraOrder::Later));
  BOOST_REQUIRE(Schedule.dueAt().has_value());
  BOOST_TEST(!Schedule.takeDue(*Schedule.dueAt() - Millis(1)));
  BOOST_TEST(Schedule.takeDue(Start + RewriteSchedule::MaxDelay));
  BOOST_TEST(!Schedule.takeDue(Start + Millis(10'000)));
}

// A second drill before the entries are back does not put them off.
BOOST_AUTO_TEST_CASE(ASecondDrillKeepsTheTime) {
  RewriteSchedule Schedule(1);
  Schedule.observe(1, Start);
  Schedule.observe(2, Start);
  const auto Due = Schedule.dueAt();
  Schedule.observe(3, Start + Millis(100));
  BOOST_TEST((Schedule.dueAt() == Due));
}

// Load pattern: all nodes learn of the drill in the same moment. In no tenth of
// the time do more than a fifth of them write.
BOOST_AUTO_TEST_CASE(SpreadsTheWritesOfAllNodes) {
  constexpr std::uint64_t Nodes = 295;
  constexpr std::size_t Parts = 10;
  std::vector<std::size_t> Writes(Parts + 1);
  for (std::uint64_t Node = 0; Node < Nodes; ++Node) {
    RewriteSchedule Schedule(Node);
    Schedule.observe(1, Start);
    Schedule.observe(2, Start);
    BOOST_REQUIRE(*Schedule.dueAt() <= Start + RewriteSchedule::MaxDelay);
    ++Writes[static_cast<std::size_t>((*Schedule.dueAt() - Start) /
                                      (RewriteSchedule::MaxDelay / Parts))];
  }
  for (const std::size_t Count : Writes)
    BOOST_TEST(Count <= Nodes / 5);
}

BOOST_AUTO_TEST_SUITE_END()
