#include <boost/test/unit_test.hpp>

#include "Report/CallMetrics.h"
#include "Report/CallWindow.h"
#include "Report/MetricsPage.h"

BOOST_AUTO_TEST_SUITE(CallWindows)

namespace {

using namespace std::chrono_literals;
using Common::ResultCode;
using Report::CallSample;

const Common::SteadyTime Start{1000h};

CallSample sample(ResultCode Result, Common::Micros Latency) {
  CallSample Sample;
  Sample.Service = "s";
  Sample.Kind = "k";
  Sample.Result = Result;
  Sample.HttpStatus = 200;
  Sample.DataCentre = "d";
  Sample.Server = "s1";
  Sample.Latency = Latency;
  Sample.Attempts = 1;
  return Sample;
}

} // namespace

BOOST_AUTO_TEST_CASE(DropsCallsOlderThanTheWindow) {
  Report::CallWindow Window;
  Window.record(sample(ResultCode::Ok, 3ms), Start);
  Window.record(sample(ResultCode::QueueFull, 0ms), Start + 10min);
  BOOST_TEST(Window.last(5min, Start + 12min).total() == 1);
  BOOST_TEST(Window.last(60min, Start + 12min).total() == 2);
  BOOST_TEST(Window.last(360min, Start + 12h).total() == 0);
}

BOOST_AUTO_TEST_CASE(CountsSlowGoodCalls) {
  Report::CallCounts Counts;
  Counts.add(sample(ResultCode::Ok, 3ms));
  Counts.add(sample(ResultCode::Ok, 5ms));
  Counts.add(sample(ResultCode::Ok, 70ms));
  Counts.add(sample(ResultCode::OutcomeUnknown, 900ms));
  BOOST_TEST(Counts.slowerThan(5ms) == 1);
  BOOST_TEST(Counts.slowerThan(100ms) == 0);
}

BOOST_AUTO_TEST_CASE(BoundsTheNumberOfFailureKeys) {
  Report::CallCounts Counts;
  for (int Index = 0; Index < 10'000; ++Index) {
    CallSample Failed = sample(ResultCode::ConnectionLost, 0ms);
    Failed.Server = "s" + std::to_string(Index);
    Counts.add(Failed);
  }
  BOOST_TEST(Counts.Failures.size() < 200);
  BOOST_TEST(Counts.total() == 10'000);
}

BOOST_AUTO_TEST_CASE(ParsesItsOwnMetricsPage) {
  Report::CallMetrics Metrics;
  for (int Index = 0; Index < 99; ++Index)
    Metrics.record(sample(ResultCode::Ok, 3ms), Start);
  Metrics.record(sample(ResultCode::QueueFull, 0ms), Start);
  std::map<Report::WindowKey, Report::CallCounts> Totals;
  const auto Lines = Report::parseMetricsPage(Metrics.page(Start + 1min));
  Report::addWindows(Lines, Totals);
  Report::addWindows(Lines, Totals); // A second node with the same calls.
  const Report::CallCounts &Counts = Totals.at({"s", "k", "1h"});
  BOOST_TEST(Counts.total() == 200);
  const Report::FailureKey Key{102, "d", "s1"};
  BOOST_TEST(Counts.Failures.at(Key) == 2);
  BOOST_TEST(Counts.slowerThan(1ms) == 198);
}

BOOST_AUTO_TEST_CASE(SkipsMalformedLines) {
  const auto Lines = Report::parseMetricsPage(
      "x{ 1\n}{\nzinnia_window_calls{a=\"b} 2\nname{a=\"b\"} 3\n");
  BOOST_REQUIRE_EQUAL(Lines.size(), 1);
  BOOST_TEST(Lines[0].Value == 3);
}

BOOST_AUTO_TEST_SUITE_END()
