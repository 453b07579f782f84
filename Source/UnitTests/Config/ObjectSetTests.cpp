#include <boost/test/unit_test.hpp>

#include "Common/Error.h"
#include "Config/ObjectSetBuilder.h"

BOOST_AUTO_TEST_SUITE(ObjectSets)

namespace {

using Common::ResultCode;

const std::string Sound = "[service s]\n"
                          "[retry r]\nattempts = 2\n"
                          "[kind k]\nidempotent = yes\ndeadline = 1s\n"
                          "retry = r\n"
                          "[route p]\nprefix = /p/\nservice = s\nkind = k\n";

std::vector<int> faultCodes(const std::string &Text) {
  Config::ObjectSetBuilder Builder;
  Builder.input("f.ini", Text);
  std::vector<int> Codes;
  for (const Common::Fault &Each : Builder.faults())
    Codes.push_back(Common::resultCodeNumber(Each.Code));
  return Codes;
}

void checkOnly(const std::string &Text, ResultCode Code) {
  const std::vector<int> Wanted = {Common::resultCodeNumber(Code)};
  BOOST_TEST(faultCodes(Text) == Wanted, boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_CASE(FindsTheMostSpecificRoute) {
  const auto Set =
      Config::ObjectSetBuilder()
          .input("f.ini", Sound + "[route q]\nprefix = /p/q/\nservice = s\n"
                                  "kind = k\n"
                                  "[route w]\nprefix = /p/q/\nmethod = POST\n"
                                  "service = s\nkind = k\n")
          .build();
  BOOST_TEST(Set->findRoute("", "GET", "/p/x")->Name == "p");
  BOOST_TEST(Set->findRoute("", "GET", "/p/q/x")->Name == "q");
  BOOST_TEST(Set->findRoute("", "POST", "/p/q/x")->Name == "w");
  BOOST_TEST(!Set->findRoute("", "GET", "/other"));
}

BOOST_AUTO_TEST_CASE(CanonicalTextReadsBackTheSame) {
  const auto Set = Config::ObjectSetBuilder().input("f.ini", Sound).build();
  const auto Again =
      Config::ObjectSetBuilder().input("g", Set->canonicalText()).build();
  BOOST_TEST(Again->canonicalText() == Set->canonicalText());
}

BOOST_AUTO_TEST_CASE(NamesEachKindOfFault) {
  checkOnly("", ResultCode::SetEmpty);
  checkOnly(Sound + "nonsense\n", ResultCode::ObjectSyntax);
  checkOnly(Sound + "[server x]\n", ResultCode::ObjectUnknownSection);
  checkOnly(Sound + "[service X!]\n", ResultCode::ObjectUnknownSection);
  checkOnly(Sound + "[service t]\nfallbak = s\n", ResultCode::ObjectUnknownKey);
  checkOnly(Sound + "[service s]\n", ResultCode::ObjectDuplicate);
  checkOnly(Sound + "[service t]\nfallback = s\nfallback = s\n",
            ResultCode::ObjectDuplicate);
  checkOnly(Sound + "[route x]\nprefix = /x/\nservice = s\n",
            ResultCode::ObjectMissingKey);
  checkOnly(Sound + "[retry x]\nattempts = many\n", ResultCode::ObjectBadValue);
  checkOnly(Sound + "[retry x]\nhedge-after = 40\n",
            ResultCode::ObjectBadValue);
  checkOnly(Sound + "[route x]\nprefix = /x/\nservice = nope\nkind = k\n",
            ResultCode::ObjectDanglingName);
  checkOnly(Sound + "[route x]\nprefix = /p/\nservice = s\nkind = k\n",
            ResultCode::ObjectConflict);
}

BOOST_AUTO_TEST_CASE(ReportsEveryServiceOfACycle) {
  const std::vector<int> Wanted = {407, 407};
  BOOST_TEST(faultCodes("[service a]\nfallback = b\n"
                        "[service b]\nfallback = a\n"
                        "[service c]\nfallback = a\n") == Wanted,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ReportsAllFaultsAtOnceWithTheirPlaces) {
  Config::ObjectSetBuilder Builder;
  Builder.input("a.ini", "[route x]\nprefix = x\nservice = s\nkind = k\n")
      .input("b.ini", "[kind k]\nidempotent = maybe\ndeadline = 1s\n"
                      "retry = r\n");
  std::vector<std::string> Places;
  for (const Common::Fault &Each : Builder.faults())
    Places.push_back(Each.File + ":" + std::to_string(Each.Line) + " " +
                     std::to_string(Common::resultCodeNumber(Each.Code)));
  const std::vector<std::string> Wanted = {"a.ini:1 406", "a.ini:2 405",
                                           "b.ini:1 406", "b.ini:2 405"};
  BOOST_TEST(Places == Wanted, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
