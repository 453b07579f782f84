#include <boost/test/unit_test.hpp>

#include "Common/Time.h"

BOOST_AUTO_TEST_SUITE(Time)

BOOST_AUTO_TEST_CASE(ParsesAllUnits) {
  using Common::Micros;
  BOOST_TEST((Common::parseDuration("15us") == Micros(15)));
  BOOST_TEST((Common::parseDuration("15ms") == Micros(15'000)));
  BOOST_TEST((Common::parseDuration("2s") == Micros(2'000'000)));
  BOOST_TEST((Common::parseDuration("1d") == Micros(86'400'000'000)));
}

BOOST_AUTO_TEST_CASE(RejectsMissingUnitsAndOverflow) {
  for (const char *Text :
       {"", "5", "5 s", "-1s", "s", "1.5s", "5parsecs", "9223372036854775807d"})
    BOOST_TEST(!Common::parseDuration(Text), Text);
}

BOOST_AUTO_TEST_CASE(FormatsWhatItParses) {
  for (const char *Text : {"1us", "1500us", "40ms", "61s", "1h", "2d"})
    BOOST_TEST(Common::formatDuration(*Common::parseDuration(Text)) == Text);
}

BOOST_AUTO_TEST_SUITE_END()
