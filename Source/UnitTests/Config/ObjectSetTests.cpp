#include <boost/test/unit_test.hpp>

#include "Common/Error.h"
#include "Config/ObjectSetBuilder.h"

BOOST_AUTO_TEST_SUITE(ObjectSets)

namespace {

using Common::ResultCode;

const std::string ValidSet = "[service s]\n"
                             "[retry r]\nattempts = 2\n"
                             "[kind k]\nidempotent = yes\ndeadline = 1s\n"
                             "retry = r\n"
                             "[route p]\nprefix = /p/\nservice = s\nkind = k\n";

std::vector<int> faultCodes(const std::string &Text) {
  Config::ObjectSetBuilder Builder;
  Builder.input("f.ini", Text);
  std::vector<int> Codes;
  for (const Common::Fault &Fault : Builder.faults())
    Codes.push_back(Common::resultCodeNumber(Fault.Code));
  return Codes;
}

void checkSingleFault(const std::string &Text, ResultCode Code) {
  const std::vector<int> Expected = {Common::resultCodeNumber(Code)};
  BOOST_TEST(faultCodes(Text) == Expected, boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_CASE(FindsTheMostSpecificRoute) {
  const auto Set =
      Config::ObjectSetBuilder()
          .input("f.ini", ValidSet +
                              "[route q]\nprefix = /p/q/\nservice = s\n"
                              "kind = k\n"
                              "[route w]\nprefix = /p/q/\nmethod = POST\n"
                              "service = s\nkind = k\n")
          .build();
  BOOST_TEST(Set->findRoute("", "GET", "/p/x")->Name == "p");
  BOOST_TEST(Set->findRoute("", "GET", "/p/q/x")->Name == "q");
  BOOST_TEST(Set->findRoute("", "POST", "/p/q/x")->Name == "w");
  BOOST_TEST(!Set->findRoute("", "GET", "/other"));
}

BOOST_AUTO_TEST_CASE(CanonicalTextRoundTrips) {
  const auto Set = Config::ObjectSetBuilder().input("f.ini", ValidSet).build();
  const auto Reparsed =
      Config::ObjectSetBuilder().input("g", Set->canonicalText()).build();
  BOOST_TEST(Reparsed->canonicalText() == Set->canonicalText());
}

BOOST_AUTO_TEST_CASE(ReadsTenantsAndAnonymousRoutes) {
  const auto Set =
      Config::ObjectSetBuilder()
          .input("f.ini", ValidSet +
                              "[tenant acme]\nkeys = k-1 k-2\npriority = 2\n"
                              "rate = 30\nburst = 60\n"
                              "[tenant bare]\nkeys = k-3\n"
                              "[route open]\nprefix = /open/\nservice = s\n"
                              "kind = k\nanonymous = yes\n")
          .build();
  const Config::Tenant *Found = Set->findTenantByKey("k-2");
  BOOST_REQUIRE(Found);
  BOOST_TEST(Found->Name == "acme");
  BOOST_TEST(Found->Priority.value() == 2);
  BOOST_TEST(Found->RatePerSecond == 30);
  BOOST_TEST(Found->Burst == 60);
  BOOST_TEST(!Set->findTenantByKey("k-3")->Priority);
  BOOST_TEST(!Set->findTenantByKey("k-4"));
  BOOST_TEST(Set->findRoute("", "GET", "/open/x")->Anonymous);
  BOOST_TEST(!Set->findRoute("", "GET", "/p/x")->Anonymous);
  const auto Reparsed =
      Config::ObjectSetBuilder().input("g", Set->canonicalText()).build();
  BOOST_TEST((Reparsed->tenants() == Set->tenants()));
  BOOST_TEST(Reparsed->canonicalText() == Set->canonicalText());
}

// Guards against keys in the faults that operators see.
BOOST_AUTO_TEST_CASE(FaultsDoNotShowKeys) {
  Config::ObjectSetBuilder Builder;
  Builder.input("f.ini", ValidSet +
                             "[tenant a]\nkeys = hush-1 hush-2\nrate = many\n"
                             "[tenant b]\nkeys = hush-1\n");
  BOOST_TEST(Builder.faults().size() == 2U);
  for (const Common::Fault &Found : Builder.faults())
    BOOST_TEST(Found.text().find("hush") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReportsEveryTypeOfFault) {
  checkSingleFault("", ResultCode::SetEmpty);
  checkSingleFault(ValidSet + "nonsense\n", ResultCode::ObjectSyntax);
  checkSingleFault(ValidSet + "[server x]\n", ResultCode::ObjectUnknownSection);
  checkSingleFault(ValidSet + "[service X!]\n",
                   ResultCode::ObjectUnknownSection);
  checkSingleFault(ValidSet + "[service t]\nfallbak = s\n",
                   ResultCode::ObjectUnknownKey);
  checkSingleFault(ValidSet + "[service s]\n", ResultCode::ObjectDuplicate);
  checkSingleFault(ValidSet + "[service t]\nfallback = s\nfallback = s\n",
                   ResultCode::ObjectDuplicate);
  checkSingleFault(ValidSet + "[route x]\nprefix = /x/\nservice = s\n",
                   ResultCode::ObjectMissingKey);
  checkSingleFault(ValidSet + "[retry x]\nattempts = many\n",
                   ResultCode::ObjectBadValue);
  checkSingleFault(ValidSet + "[retry x]\nhedge-after = 40\n",
                   ResultCode::ObjectBadValue);
  checkSingleFault(ValidSet +
                       "[route x]\nprefix = /x/\nservice = nope\nkind = k\n",
                   ResultCode::ObjectDanglingName);
  checkSingleFault(ValidSet +
                       "[route x]\nprefix = /p/\nservice = s\nkind = k\n",
                   ResultCode::ObjectConflict);
}

BOOST_AUTO_TEST_CASE(ReportsEveryServiceOfACycle) {
  const std::vector<int> Expected = {407, 407};
  BOOST_TEST(faultCodes("[service a]\nfallback = b\n"
                        "[service b]\nfallback = a\n"
                        "[service c]\nfallback = a\n") == Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ReportsAllFaultsWithFileAndLine) {
  Config::ObjectSetBuilder Builder;
  Builder.input("a.ini", "[route x]\nprefix = x\nservice = s\nkind = k\n")
      .input("b.ini", "[kind k]\nidempotent = maybe\ndeadline = 1s\n"
                      "retry = r\n");
  std::vector<std::string> Locations;
  for (const Common::Fault &Fault : Builder.faults())
    Locations.push_back(Fault.File + ":" + std::to_string(Fault.Line) + " " +
                        std::to_string(Common::resultCodeNumber(Fault.Code)));
  const std::vector<std::string> Expected = {"a.ini:1 406", "a.ini:2 405",
                                             "b.ini:1 406", "b.ini:2 405"};
  BOOST_TEST(Locations == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
