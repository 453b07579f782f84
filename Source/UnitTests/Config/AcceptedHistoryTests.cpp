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

int codeOf(const std::optional<Config::RecordResult> &Result) {
  BOOST_REQUIRE(Result.has_value());
  return Common::resultCodeNumber(Result->Code);
}

} // namespace

BOOST_AUTO_TEST_CASE(TheFirstValidRecordIsAccepted) {
  Config::AcceptedHistory History;
  BOOST_TEST(codeOf(History.apply(1, proposal("a", 0))) == 0);
  const auto Lost = History.apply(2, proposal("b", 0));
  BOOST_TEST(codeOf(Lost) ==
             Common::resultCodeNumber(ResultCode::PublishRaceLost));
  BOOST_TEST(Lost->Winner == 1);
  BOOST_TEST(codeOf(History.apply(3, proposal("c", 1, "t"))) == 0);
  BOOST_TEST(History.current().SetVersion == 3);
  BOOST_TEST(History.current().Set->services().contains("t"));
}

BOOST_AUTO_TEST_CASE(AnInvalidSetIsRejected) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  Config::Record Bad = proposal("b", 1);
  Bad.SetText = "[service x]\nfallback = nowhere\n";
  BOOST_TEST(codeOf(History.apply(2, Bad)) ==
             Common::resultCodeNumber(ResultCode::PublishSetInvalid));
  BOOST_TEST(History.current().SetVersion == 1);
  BOOST_TEST(codeOf(History.apply(3, proposal("c", 1))) == 0);
}

BOOST_AUTO_TEST_CASE(ARecordAppendedTwiceIsAcceptedOnce) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  BOOST_TEST(codeOf(History.apply(2, proposal("a", 0))) ==
             Common::resultCodeNumber(ResultCode::RecordDuplicate));
  BOOST_TEST(History.current().SetVersion == 1);
}

BOOST_AUTO_TEST_CASE(ARepeatedOffsetIsIgnored) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  History.apply(2, proposal("b", 1));
  BOOST_TEST(!History.apply(1, proposal("a", 0)).has_value());
  BOOST_TEST(History.current().SetVersion == 2);
}

BOOST_AUTO_TEST_CASE(AnUnknownRuleLevelHaltsTheHistory) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  Config::Record Newer = proposal("b", 1);
  Newer.Level = Config::CurrentRuleLevel + 1;
  BOOST_TEST(codeOf(History.apply(2, Newer)) ==
             Common::resultCodeNumber(ResultCode::RuleLevelUnknown));
  BOOST_TEST(History.isHalted());
  BOOST_TEST(!History.apply(3, proposal("c", 1)).has_value());
  BOOST_TEST(History.current().SetVersion == 1);
}

BOOST_AUTO_TEST_CASE(AdoptsOnlyNewerVersions) {
  Config::AcceptedHistory History;
  History.apply(1, proposal("a", 0));
  History.apply(2, proposal("b", 1));
  Config::AcceptedSet Old = History.current();
  Old.SetVersion = 1;
  BOOST_TEST((History.adopt(Old) == ResultCode::VersionNotNewer));
  Config::AcceptedSet Newer = History.current();
  Newer.SetVersion = 7;
  BOOST_TEST((History.adopt(Newer) == ResultCode::Ok));
  BOOST_TEST(History.lastOffset() == 7);
  // Records at offsets up to the adopted version are skipped.
  BOOST_TEST(!History.apply(5, proposal("c", 2)).has_value());
  BOOST_TEST(History.current().SetVersion == 7);
}

BOOST_AUTO_TEST_SUITE_END()
