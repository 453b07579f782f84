#include <boost/test/unit_test.hpp>

#include "Admission/ServiceTimes.h"

BOOST_AUTO_TEST_SUITE(ServiceTimesTests)

namespace {

using Admission::ServiceTimes;
using Common::Micros;
using Common::Millis;

void addSamples(ServiceTimes &Times, const std::string &Kind,
                Millis ServiceTime) {
  constexpr int Samples = 8;
  for (int Index = 0; Index < Samples; ++Index)
    Times.addSample(Kind, false, ServiceTime);
}

} // namespace

// Guards against a full table that accepts no new kinds: the service times of
// routes that were added after many others were never measured.
BOOST_AUTO_TEST_CASE(MeasuresNewKindsAfterManyOthers) {
  constexpr int OtherKinds = 5'000;
  ServiceTimes Times;
  for (int Index = 0; Index < OtherKinds; ++Index) {
    addSamples(Times, "steady", Millis(20));
    Times.addSample("k" + std::to_string(Index), false, Millis(5));
  }
  addSamples(Times, "added", Millis(100));
  BOOST_TEST((Times.expected("added") == Micros(Millis(100))));
  BOOST_TEST((Times.expected("steady") == Micros(Millis(20))));
  BOOST_TEST(!Times.expected("k1"));
}

BOOST_AUTO_TEST_SUITE_END()
