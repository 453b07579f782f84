#include <boost/test/unit_test.hpp>

#include "Rollout/Judge.h"
#include "Rollout/ServerWatch.h"

BOOST_AUTO_TEST_SUITE(Judges)

namespace {

using Common::Micros;
using Common::SteadyTime;
using Rollout::Comparison;

Rollout::Evidence calls(int Answered, int Failed, Micros Time, int Slow = 0,
                        int Unanswered = 0) {
  Rollout::KindEvidence Counts;
  Counts.Answered = Answered + Slow;
  Counts.Failed = Failed;
  Counts.Unanswered = Unanswered;
  Counts.ByTime.at(Rollout::timeBucket(Time)) = Answered;
  Counts.ByTime.at(Rollout::timeBucket(5 * Time)) += Slow;
  return {{"k", Counts}};
}

bool isBad(const Rollout::Evidence &Target, const Rollout::Evidence &Base,
           Comparison By = Comparison::FailuresAndTimes) {
  return Rollout::judge(Target, Base, By).IsBad;
}

} // namespace

BOOST_AUTO_TEST_CASE(ComparesFailuresWithTheOtherVersions) {
  const auto Healthy = calls(1'000, 2, Micros(10'000));
  BOOST_TEST(!isBad(calls(100, 4, Micros(10'000)), Healthy));
  BOOST_TEST(isBad(calls(95, 5, Micros(10'000)), Healthy));
  // Both fail as often.
  BOOST_TEST(
      !isBad(calls(90, 10, Micros(10'000)), calls(900, 100, Micros(10'000))));
}

// Load pattern: in an overload the other versions fail many calls as well.
BOOST_AUTO_TEST_CASE(FindsABadVersionWhileOthersFailToo) {
  const auto Overloaded = calls(850, 150, Micros(10'000));
  BOOST_TEST(isBad(calls(20, 15, Micros(10'000)), Overloaded));
  BOOST_TEST(!isBad(calls(28, 7, Micros(10'000)), Overloaded));
}

BOOST_AUTO_TEST_CASE(ComparesTimesWithTheOtherVersions) {
  const auto Usual = calls(1'000, 0, Micros(10'000), 20);
  BOOST_TEST(!isBad(calls(100, 0, Micros(14'000)), Usual));
  BOOST_TEST(isBad(calls(100, 0, Micros(40'000)), Usual));
  // A part of the calls.
  BOOST_TEST(isBad(calls(70, 0, Micros(10'000), 30), Usual));
  BOOST_TEST(!isBad(calls(95, 0, Micros(10'000), 5), Usual));
}

BOOST_AUTO_TEST_CASE(IgnoresWhatOverloadCauses) {
  const auto Usual = calls(1'000, 0, Micros(10'000));
  const auto Overloaded = calls(60, 0, Micros(60'000), 0, 40);
  BOOST_TEST(isBad(Overloaded, Usual));
  BOOST_TEST(!isBad(Overloaded, Usual, Comparison::FailuresOnly));
}

BOOST_AUTO_TEST_CASE(ClosesAServerThatFailsManyOfItsLastCalls) {
  const SteadyTime Now;
  Rollout::ServerWatch Watch;
  Watch.follow({1, true, false});
  for (int Call = 0; Call < 40; ++Call)
    Watch.callEnded("k",
                    Call % 5 == 0 ? Rollout::Outcome::Failed
                                  : Rollout::Outcome::Answered,
                    Micros(10), Now);
  BOOST_TEST(!Watch.isClosed());
  for (int Call = 0; Call < 2; ++Call)
    Watch.callEnded("k", Rollout::Outcome::Failed, Micros(10), Now);
  BOOST_TEST(Watch.isClosed());
  Watch.follow({2, true, false});
  BOOST_TEST(!Watch.isClosed());
}

BOOST_AUTO_TEST_CASE(CountsNoTimesOfAServerThatHasJustStarted) {
  const SteadyTime Now;
  Rollout::ServerWatch Watch;
  Watch.follow({1, true, false});
  Watch.setWarmAt(Now + Common::Millis(10));
  Watch.callEnded("k", Rollout::Outcome::Answered, Micros(10), Now);
  Watch.callEnded("k", Rollout::Outcome::Answered, Micros(10),
                  Now + Common::Millis(10));
  BOOST_TEST(Watch.evidence().at("k").Answered == 2);
  BOOST_TEST(Watch.evidence().at("k").timed() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
