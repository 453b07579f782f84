#include <boost/test/unit_test.hpp>

#include "Common/Error.h"
#include "Common/Settings.h"

BOOST_AUTO_TEST_SUITE(SettingsFiles)

namespace {

using Common::ResultCode;
using Common::SettingType;

Common::SettingsBuilder builderFor(const std::string &Text) {
  Common::SettingsBuilder Builder;
  Builder
      .rules({{"a", "port", SettingType::Integer, {}, 1, 65535, ""},
              {"a", "wait", SettingType::Time, "5s", 1000, 60'000'000, ""},
              {"b", "on", SettingType::Flag, "no", 0, 0, ""}})
      .input("f.ini", Text);
  return Builder;
}

// Returns the fault of Text, which must have exactly one.
Common::Fault onlyFault(const std::string &Text) {
  auto Builder = builderFor(Text);
  BOOST_REQUIRE_EQUAL(Builder.faults().size(), 1);
  return Builder.faults().front();
}

void checkFault(const std::string &Text, ResultCode Code, int Line) {
  const Common::Fault Found = onlyFault(Text);
  BOOST_TEST(Common::resultCodeNumber(Found.Code) ==
             Common::resultCodeNumber(Code));
  BOOST_TEST(Found.Line == Line);
  BOOST_TEST(Found.File == "f.ini");
}

} // namespace

BOOST_AUTO_TEST_CASE(FurtherSettingsLeaveOutEmptyValues) {
  auto Builder = builderFor("");
  Builder.input({"VARIABLE", "a.port=80,a.wait=,b.on=yes"});
  const Common::Settings Read = Builder.build();
  BOOST_TEST(Read.integer("a", "port") == 80);
  BOOST_TEST(Read.time("a", "wait").count() == 5'000'000);
  BOOST_TEST(Read.flag("b", "on"));
}

BOOST_AUTO_TEST_CASE(FaultsOfFurtherSettingsNameTheirOrigin) {
  auto Builder = builderFor("[a]\nport = 80\n");
  Builder.input({"VARIABLE", "a.wait=soon"});
  BOOST_REQUIRE_EQUAL(Builder.faults().size(), 1);
  BOOST_TEST(Builder.faults().front().File == "VARIABLE");
}

BOOST_AUTO_TEST_CASE(ReadsValuesAndDefaults) {
  const auto Read = builderFor("[a]\nport = 80 ; inline\n").build();
  BOOST_TEST(Read.integer("a", "port") == 80);
  BOOST_TEST(Read.time("a", "wait").count() == 5'000'000);
  BOOST_TEST(!Read.flag("b", "on"));
}

BOOST_AUTO_TEST_CASE(ReportsTheLocationOfEachFault) {
  checkFault("[a]\nport = 1\n[c]\n", ResultCode::SettingsUnknownSection, 3);
  checkFault("[a]\nport = 1\nprot = 2\n", ResultCode::SettingsUnknownKey, 3);
  checkFault("[a]\nport = 1\nwait = 5\n", ResultCode::SettingsWrongType, 3);
  checkFault("[a]\nport = 1\nwait = 2h\n", ResultCode::SettingsOutOfRange, 3);
  checkFault("[a]\nport = 1\nport = 2\n", ResultCode::SettingsDuplicate, 3);
  checkFault("[a]\nport = 1\nnonsense\n", ResultCode::SettingsSyntax, 3);
  checkFault("[b]\non = yes\n", ResultCode::SettingsMissing, 0);
}

BOOST_AUTO_TEST_CASE(RejectsLinesOverTheParserLimit) {
  checkFault("[a]\nport = 1\nwait = " + std::string(500, '1') + "s\n",
             ResultCode::SettingsSyntax, 3);
}

BOOST_AUTO_TEST_CASE(ReportsTheAllowedValues) {
  BOOST_TEST(onlyFault("[a]\nport = 99999\n").text() ==
             "f.ini:2: 305 SettingsOutOfRange: [a] port = 99999; allowed is a "
             "whole number from 1 to 65535");
}

BOOST_AUTO_TEST_SUITE_END()
