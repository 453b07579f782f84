#include <boost/test/unit_test.hpp>

#include "Recovery/EraTracker.h"

BOOST_AUTO_TEST_SUITE(EraTrackers)

namespace {

using Recovery::EraOrder;

} // namespace

BOOST_AUTO_TEST_CASE(TellsWhatAnEraMeansForWhatIsKnown) {
  Recovery::EraTracker Tracker;
  BOOST_TEST((Tracker.observe(std::nullopt) == EraOrder::Same));
  BOOST_TEST((Tracker.observe(3) == EraOrder::First));
  BOOST_TEST((Tracker.observe(3) == EraOrder::Same));
  BOOST_TEST((Tracker.observe(std::nullopt) == EraOrder::Same));
  BOOST_TEST((Tracker.compare(4) == EraOrder::Later));
  BOOST_TEST((Tracker.current() == 3));
}

// Two drills may pass between two answers, and the answer to an earlier call
// may arrive last.
BOOST_AUTO_TEST_CASE(SkipsErasAndIgnoresLateAnswers) {
  Recovery::EraTracker Tracker;
  Tracker.observe(3);
  BOOST_TEST((Tracker.observe(6) == EraOrder::Later));
  BOOST_TEST((Tracker.observe(5) == EraOrder::Earlier));
  BOOST_TEST((Tracker.current() == 6));
}

BOOST_AUTO_TEST_SUITE_END()
