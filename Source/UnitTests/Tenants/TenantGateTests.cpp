#include <boost/test/unit_test.hpp>

#include "Config/ObjectSetBuilder.h"
#include "Tenants/TenantGate.h"

BOOST_AUTO_TEST_SUITE(TenantGates)

namespace {

using Common::Millis;
using Common::ResultCode;

struct Fixture {
  Tenants::QuotaTerms Terms{std::chrono::seconds(5), 0.1, 20};
  Common::SteadyTime Now{std::chrono::seconds(1000)};
  Config::ObjectSetPtr Set;
  Tenants::TenantGate Gate{Terms};

  Fixture() {
    Set = makeSet({"key-1", "key-2"}, 10);
    Gate.useSet(*Set, Now);
  }

  static Config::ObjectSetPtr makeSet(std::vector<std::string> Keys,
                                      double RatePerSecond) {
    Config::ObjectSetBuilder Builder;
    Builder.input("f", "[service s]\n[retry r]\nattempts = 1\n"
                       "[kind k]\nidempotent = yes\ndeadline = 1s\nretry = r\n"
                       "[route a]\nprefix = /a\nservice = s\nkind = k\n");
    Config::Route Open;
    Open.Name = "open";
    Open.Prefix = "/open";
    Open.Service = "s";
    Open.Kind = "k";
    Open.Anonymous = true;
    Builder.add(std::move(Open));
    Config::Tenant Tenant;
    Tenant.Name = "acme";
    Tenant.Keys = std::move(Keys);
    Tenant.Priority = 3;
    Tenant.RatePerSecond = RatePerSecond;
    Tenant.Burst = 5;
    Builder.add(std::move(Tenant));
    return Builder.build();
  }

  Tenants::Admission admit(const std::string &Path,
                           const std::optional<std::string> &Key) {
    return Gate.admit(*Set, *Set->findRoute("h", "GET", Path), Key, Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(KnowsATenantByAnyOfItsKeys, Fixture) {
  for (const char *Key : {"key-1", "key-2"}) {
    const Tenants::Admission Result = admit("/a", Key);
    BOOST_TEST((Result.Result == ResultCode::Ok));
    BOOST_REQUIRE(Result.Sender);
    BOOST_TEST(Result.Sender->Name == "acme");
    BOOST_TEST(Result.Sender->Priority.value() == 3);
  }
}

BOOST_FIXTURE_TEST_CASE(RefusesUnknownAndMissingKeys, Fixture) {
  BOOST_TEST((admit("/a", "key-3").Result == ResultCode::TenantKeyUnknown));
  BOOST_TEST((admit("/a", "").Result == ResultCode::TenantKeyUnknown));
  BOOST_TEST(
      (admit("/a", std::nullopt).Result == ResultCode::TenantKeyMissing));
}

BOOST_FIXTURE_TEST_CASE(AnonymousRoutesNeedNoKey, Fixture) {
  for (const auto &Key :
       {std::optional<std::string>(), std::optional<std::string>("key-3")}) {
    const Tenants::Admission Result = admit("/open", Key);
    BOOST_TEST((Result.Result == ResultCode::Ok));
    BOOST_TEST(!Result.Sender);
  }
  BOOST_TEST(admit("/open", "key-1").Sender);
}

BOOST_FIXTURE_TEST_CASE(RefusesARevokedKey, Fixture) {
  Set = makeSet({"key-2"}, 10);
  Gate.useSet(*Set, Now);
  BOOST_TEST((admit("/a", "key-1").Result == ResultCode::TenantKeyUnknown));
  BOOST_TEST((admit("/a", "key-2").Result == ResultCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(RefusesBeyondTheQuotaUntilItRefills, Fixture) {
  int Admitted = 0;
  while (admit("/a", "key-1").Result == ResultCode::Ok)
    ++Admitted;
  BOOST_TEST(Admitted == 5);
  BOOST_TEST((admit("/a", "key-1").Result == ResultCode::TenantQuotaSpent));
  BOOST_TEST((admit("/a", "key-1").RetryAfter == Millis(100)));
  Now += Millis(110);
  BOOST_TEST((admit("/a", "key-1").Result == ResultCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(CallsThatDidNotRunUseNoQuota, Fixture) {
  for (int Call = 0; Call < 50; ++Call) {
    BOOST_TEST((admit("/a", "key-1").Result == ResultCode::Ok));
    Gate.quotas().refund("acme");
  }
}

BOOST_FIXTURE_TEST_CASE(ARateOfZeroMeansNoLimit, Fixture) {
  Set = makeSet({"key-1"}, 0);
  Gate.useSet(*Set, Now);
  for (int Call = 0; Call < 1000; ++Call)
    BOOST_TEST((admit("/a", "key-1").Result == ResultCode::Ok));
}

BOOST_AUTO_TEST_SUITE_END()
