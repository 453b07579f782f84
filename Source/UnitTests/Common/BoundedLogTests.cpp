#include <boost/test/unit_test.hpp>

#include "Common/BoundedLog.h"

BOOST_AUTO_TEST_SUITE(BoundedLogs)

namespace {

using Common::LogBounds;
using Common::LogBuffer;
using Common::Millis;

const Common::SteadyTime Start{Millis(1000)};

} // namespace

BOOST_AUTO_TEST_CASE(BoundsTheLinesOfAFlood) {
  LogBounds Bounds;
  Bounds.LinesPerSecond = 10;
  Bounds.LinesAtOnce = 20;
  LogBuffer Tested(Bounds);
  int Kept = 0;
  for (int Line = 0; Line < 1000; ++Line)
    Kept += Tested.add("x\n", false, Start + Millis(Line)) ? 1 : 0;
  BOOST_TEST(Kept >= 29);
  BOOST_TEST(Kept <= 31);
  BOOST_TEST(Tested.takeDropped() == static_cast<std::uint64_t>(1000 - Kept));
  BOOST_TEST(Tested.takeDropped() == 0U);
}

BOOST_AUTO_TEST_CASE(KeepsWarningsBesideAFlood) {
  LogBounds Bounds;
  Bounds.LinesAtOnce = 5;
  LogBuffer Tested(Bounds);
  for (int Line = 0; Line < 100; ++Line)
    Tested.add("x\n", false, Start);
  BOOST_TEST(Tested.add("warning\n", true, Start));
  BOOST_TEST(Tested.isDue(Start));
}

BOOST_AUTO_TEST_CASE(HoldsABoundedPartWhileItsReaderStalls) {
  LogBounds Bounds;
  Bounds.BufferBytes = 100;
  LogBuffer Tested(Bounds);
  for (int Line = 0; Line < 100; ++Line)
    Tested.add("0123456789", false, Start);
  BOOST_TEST(Tested.held().size() == 100U);
  BOOST_TEST(Tested.takeDropped() == 90U);
}

BOOST_AUTO_TEST_CASE(GathersLinesThatComeTogether) {
  LogBuffer Tested{LogBounds()};
  Tested.add("a\n", false, Start);
  BOOST_TEST(Tested.isDue(Start));
  Tested.written(2, Start);
  Tested.add("b\n", false, Start + Millis(1));
  BOOST_TEST(!Tested.isDue(Start + Millis(1)));
  BOOST_TEST(Tested.isDue(Start + Millis(100)));
}

BOOST_AUTO_TEST_SUITE_END()
