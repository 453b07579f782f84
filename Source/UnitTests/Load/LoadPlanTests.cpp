#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "Common/Error.h"
#include "Programs/zinnia-load/LoadPlan.h"
#include "Programs/zinnia-load/LoadReport.h"

BOOST_AUTO_TEST_SUITE(LoadPlans)

namespace {

using Common::Millis;
using namespace Load;

std::vector<std::size_t> drawClasses(std::uint64_t Seed) {
  LoadPlan Plan(100, {}, {{"/a", "", 9}, {"/b", "", 1}}, Seed);
  std::vector<std::size_t> Result(1000);
  std::generate(Result.begin(), Result.end(), [&] { return Plan.drawClass(); });
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(SwingMultipliesRateDuringItsInterval) {
  const LoadPlan Plan(100, {parseSwing("8@2s+500ms")}, {CallClass()}, 1);
  BOOST_TEST((Plan.intervalAfter(Millis(1999)) == Millis(10)));
  BOOST_TEST((Plan.intervalAfter(Millis(2000)) == Common::Micros(1250)));
  BOOST_TEST((Plan.intervalAfter(Millis(2500)) == Millis(10)));
}

BOOST_AUTO_TEST_CASE(DrawsClassesByWeightAndSeed) {
  const auto Drawn = drawClasses(7);
  const auto RareCount = std::count(Drawn.begin(), Drawn.end(), 1U);
  BOOST_TEST(RareCount > 60);
  BOOST_TEST(RareCount < 140);
  BOOST_TEST((Drawn == drawClasses(7)));
  BOOST_TEST((Drawn != drawClasses(8)));
}

BOOST_AUTO_TEST_CASE(RejectsMalformedSwingsAndClasses) {
  for (const char *Text : {"8", "8@2s", "x@2s+1s", "8@2+1s", "8+1s@2s"})
    BOOST_CHECK_THROW(parseSwing(Text), Common::Error);
  for (const char *Text : {"/a b", "/a b x", "/a b 0", "/a b 1 2"})
    BOOST_CHECK_THROW(parseCallClass(Text), Common::Error);
}

BOOST_AUTO_TEST_CASE(ComputesExactQuantiles) {
  Latencies Latency;
  for (int Value = 1000; Value >= 0; --Value)
    Latency.add(Common::Micros(Value));
  BOOST_TEST(Latency.quantile(0.5).count() == 500);
  BOOST_TEST(Latency.quantile(0.999).count() == 999);
}

BOOST_AUTO_TEST_CASE(SumsTheExtraAttemptsOfAllRuns) {
  LoadReport Sum;
  LoadReport Run;
  Run.ExtraAttempts = 3;
  Sum.add(Run);
  Sum.add(Run);
  BOOST_TEST(Sum.ExtraAttempts == 6);
}

BOOST_AUTO_TEST_SUITE_END()
