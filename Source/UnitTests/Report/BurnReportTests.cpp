#include <boost/test/unit_test.hpp>

#include "Report/BurnReport.h"

BOOST_AUTO_TEST_SUITE(BurnReports)

namespace {

using namespace std::chrono_literals;

Report::CallCounts counts(std::uint64_t Good, std::uint64_t NotRun) {
  Report::CallCounts Result;
  Result.ByOutcome = {Good, 0, NotRun, 0};
  Result.Failures[{102, "d", "s1"}] = NotRun;
  return Result;
}

Report::Objective objective() {
  return {"prices", "s", "", 0.999, std::nullopt};
}

Report::ObjectiveBurn burn(std::uint64_t BadIn5m, std::uint64_t BadIn1h,
                           std::uint64_t BadIn6h) {
  std::map<Report::WindowKey, Report::CallCounts> Totals;
  Totals[{"s", "k", "5m"}] = counts(1000 - BadIn5m, BadIn5m);
  Totals[{"s", "k", "30m"}] = counts(10'000 - BadIn1h, BadIn1h);
  Totals[{"s", "k", "1h"}] = counts(10'000 - BadIn1h, BadIn1h);
  Totals[{"s", "k", "6h"}] = counts(100'000 - BadIn6h, BadIn6h);
  return Report::computeBurn({objective()}, Totals).front();
}

} // namespace

BOOST_AUTO_TEST_CASE(BurnRateIsBadShareDividedByBudget) {
  const auto Burn = burn(2, 10, 50);
  BOOST_TEST(Burn.Windows[0].Rate == 2, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Burn.Windows[2].Rate == 1, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Burn.BudgetLeft == 0.5, boost::test_tools::tolerance(1e-9));
  BOOST_TEST((Burn.Alarm == Report::BurnAlarm::None));
}

BOOST_AUTO_TEST_CASE(AlarmRequiresShortAndLongWindow) {
  BOOST_TEST((burn(15, 145, 200).Alarm == Report::BurnAlarm::Fast));
  BOOST_TEST((burn(1, 145, 200).Alarm == Report::BurnAlarm::None));
  BOOST_TEST((burn(15, 10, 200).Alarm == Report::BurnAlarm::None));
  BOOST_TEST((burn(1, 100, 700).Alarm == Report::BurnAlarm::Slow));
}

BOOST_AUTO_TEST_CASE(ReportsFailuresAndUnreachableNodes) {
  Report::BurnReport BurnReport;
  BurnReport.Objectives = {burn(15, 145, 200)};
  BurnReport.Answered = {"10.0.0.1:1"};
  BurnReport.Unreachable = {"10.0.0.2:1"};
  const std::string Text = Report::burnText(BurnReport);
  BOOST_TEST(Text.find("prices: FAST BURN") != std::string::npos);
  BOOST_TEST(Text.find("102 QueueFull, data centre d, backend server s1: "
                       "200") != std::string::npos);
  BOOST_TEST(Text.find("604 NodeUnreachable: 10.0.0.2:1") != std::string::npos);
  const std::string Page = Report::burnPage(BurnReport);
  BOOST_TEST(Page.find("<svg") != std::string::npos);
  BOOST_TEST(Page.find("10.0.0.2:1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReportsSettingsFaultsWithLine) {
  std::vector<Common::Fault> Faults;
  Report::readBurnSettings("b.ini",
                           "[nodes]\nadmin = 10.0.0.1:1 10.0.0.2:1\n"
                           "[objective x]\nservice = s\n"
                           "target-percent = 100\nlatency = 5\nspeed = 1\n"
                           "[other]\n",
                           Faults);
  std::vector<std::string> Locations;
  Locations.reserve(Faults.size());
  for (const Common::Fault &Fault : Faults)
    Locations.push_back(std::to_string(Fault.Line) + " " +
                        std::to_string(Common::resultCodeNumber(Fault.Code)));
  const std::vector<std::string> Expected = {"5 305", "6 304", "7 303",
                                             "8 302"};
  BOOST_TEST(Locations == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
