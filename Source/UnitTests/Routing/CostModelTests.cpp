#include <boost/test/unit_test.hpp>

#include "Routing/CostModel.h"

BOOST_AUTO_TEST_SUITE(CostModels)

namespace {

using Common::Micros;
using Common::Millis;
using namespace Routing;

constexpr std::size_t SmallBody = 1'000;
constexpr std::size_t LargeBody = 1'000'000;
constexpr int Samples = 20;

void add(CostModel &Tested, std::size_t BodyBytes, Micros ServiceTime,
         int SlownessPercent = 100) {
  for (int Sample = 0; Sample < Samples; ++Sample)
    Tested.addSample({"k", BodyBytes, ServiceTime, SlownessPercent});
}

} // namespace

BOOST_AUTO_TEST_CASE(KnowsNothingWithoutSamples) {
  CostModel Tested;
  BOOST_TEST(Tested.expected("k", SmallBody).count() == 0);
  Tested.addSample({"k", SmallBody, Millis(10), 100});
  BOOST_TEST(Tested.expected("k", SmallBody).count() == 0);
}

BOOST_AUTO_TEST_CASE(TellsLargeBodiesFromSmallOnes) {
  CostModel Tested;
  add(Tested, SmallBody, Millis(20));
  add(Tested, LargeBody, Millis(200));
  BOOST_TEST(Tested.expected("k", SmallBody + 1).count() == 20'000);
  BOOST_TEST(Tested.expected("k", LargeBody).count() == 200'000);
}

BOOST_AUTO_TEST_CASE(UsesTheMeanOfTheKindForAnUnknownSize) {
  CostModel Tested;
  add(Tested, SmallBody, Millis(20));
  add(Tested, SmallBody, Millis(20));
  BOOST_TEST(Tested.expected("k", LargeBody).count() == 20'000);
}

BOOST_AUTO_TEST_CASE(CountsTheSpeedOfTheServerOut) {
  CostModel Tested;
  add(Tested, 0, Millis(160), 160);
  add(Tested, 0, Millis(50), 50);
  BOOST_TEST(Tested.expected("k", 0).count() == 100'000);
}

BOOST_AUTO_TEST_CASE(ForgetsKindsThatAreGone) {
  CostModel Tested;
  add(Tested, 0, Millis(10));
  Tested.useKinds({});
  BOOST_TEST(Tested.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
