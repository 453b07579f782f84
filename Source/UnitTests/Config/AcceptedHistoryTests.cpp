#include <boost/test/unit_test.hpp>

#include "Config/AcceptedHistory.h"
#include "Config/ObjectSetBuilder.h"

BOOST_AUTO_TEST_SUITE(AcceptedHistories)

namespace {

using Common::ResultCode;

Config::Record proposal(const std::string &Id, Config::Version Base,
                        const std::string &Service = "s") {
  Config::Record Result;
  Result.Id = Id;
  Result.Base = Base;
  Result.SetText = "[service " + Service + "]\n";
  return Result;
}

int codeOf(const std::optional<Config::RecordResult> &Judged) {
  BOOST_REQUIRE(Judged.has_value());
  return Common::resultCodeNumber(Judged->Code);
}

} // namespace

BOOST_AUTO_TEST_CASE(FirstValidRecordWinsTheRace) {
  Config::AcceptedHistory History;
  BOOST_TEST(codeOf(History.apply(1, proposal("a", 0))) == 0);
  const auto Lost = History.apply(2, proposal("b", 0));
  BOOST_TEST(codeOf(Lost) ==
             Common::resultCodeNumber(ResultCode::PublishRaceLost));
  BOOST_TEST(Lost->Winner == 1);
  BOOST_TEST(codeOf(History.apply(3, proposal("c", 1, "t"))) == 0);
  BOOST_TEST(History.current().Number == 3);
  BOOST_TEST(History.current().Set->services().contains("t"));
}

BOOST_AUTO_TEST_CASE(InvalidSetChangesNothing) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  Config::Record Bad = proposal("b", 1);
  Bad.SetText = "[service x]\nfallback = nowhere\n";
  BOOST_TEST(codeOf(History.apply(2, Bad)) ==
             Common::resultCodeNumber(ResultCode::PublishSetInvalid));
  BOOST_TEST(History.current().Number == 1);
  BOOST_TEST(codeOf(History.apply(3, proposal("c", 1))) == 0);
}

BOOST_AUTO_TEST_CASE(ARecordThatLandedTwiceCountsOnce) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  BOOST_TEST(codeOf(History.apply(2, proposal("a", 0))) ==
             Common::resultCodeNumber(ResultCode::RecordDuplicate));
  BOOST_TEST(History.current().Number == 1);
}

BOOST_AUTO_TEST_CASE(RepeatedDeliveryIsIgnored) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  History.apply(2, proposal("b", 1));
  BOOST_TEST(!History.apply(1, proposal("a", 0)).has_value());
  BOOST_TEST(History.current().Number == 2);
}

BOOST_AUTO_TEST_CASE(UnknownRuleLevelHaltsWithoutLoss) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  Config::Record Newer = proposal("b", 1);
  Newer.Level = Config::CurrentRuleLevel + 1;
  BOOST_TEST(codeOf(History.apply(2, Newer)) ==
             Common::resultCodeNumber(ResultCode::RuleLevelUnknown));
  BOOST_TEST(History.isHalted());
  BOOST_TEST(!History.apply(3, proposal("c", 1)).has_value());
  BOOST_TEST(History.current().Number == 1);
}

BOOST_AUTO_TEST_CASE(AdoptsOnlyWhatIsNewer) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  History.apply(2, proposal("b", 1));
  Config::AcceptedSet Old = History.current();
  Old.Number = 1;
  BOOST_TEST((History.adopt(Old) == ResultCode::VersionNotNewer));
  Config::AcceptedSet Newer = History.current();
  Newer.Number = 7;
  BOOST_TEST((History.adopt(Newer) == ResultCode::Ok));
  BOOST_TEST(History.lastOffset() == 7);
  // What the log holds up to the adopted version is behind us.
  BOOST_TEST(!History.apply(5, proposal("c", 2)).has_value());
  BOOST_TEST(History.current().Number == 7);
}

BOOST_AUTO_TEST_SUITE_END()
