#include <boost/test/unit_test.hpp>

#include "Admission/ServiceTimes.h"

BOOST_AUTO_TEST_SUITE(ServiceTimesTests)

namespace {

using Admission::ServiceTimes;
using Common::Micros;
using Common::Millis;

void learn(ServiceTimes &Times, const std::string &Kind, Millis Took) {
  constexpr int Calls = 8;
  for (int Index = 0; Index < Calls; ++Index)
    Times.learn(Kind, false, Took);
}

} // namespace

// Kinds of routes that were added after many others were never learnt.
BOOST_AUTO_TEST_CASE(LearnsKindsThatComeAfterManyOthers) {
  constexpr int Others = 5'000;
  ServiceTimes Times;
  for (int Index = 0; Index < Others; ++Index) {
    learn(Times, "steady", Millis(20));
    Times.learn("k" + std::to_string(Index), false, Millis(5));
  }
  learn(Times, "added", Millis(100));
  BOOST_TEST((Times.usual("added") == Micros(Millis(100))));
  BOOST_TEST((Times.usual("steady") == Micros(Millis(20))));
  BOOST_TEST(!Times.usual("k1"));
}

BOOST_AUTO_TEST_SUITE_END()
