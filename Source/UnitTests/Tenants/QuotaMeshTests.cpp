#include <boost/test/unit_test.hpp>

#include "UnitTests/Tenants/VirtualMesh.h"

BOOST_AUTO_TEST_SUITE(QuotaMeshes)

namespace {

using Common::Millis;
using UnitTests::TenantLoad;
using UnitTests::VirtualMesh;

constexpr std::size_t NodesPerDataCentre = 29;
// Quotas leave room above the usual demand, as they do in operation.
constexpr double QuotaPerDemand = 1.6;
// Of the requests within the quota, how many may be refused.
constexpr double RefusedShareLimit = 0.01;

TenantLoad loadOf(const std::string &Name, double UsualPerSecond) {
  TenantLoad Result;
  Result.Name = Name;
  Result.DemandPerSecond = UsualPerSecond;
  Result.RatePerSecond = UsualPerSecond * QuotaPerDemand;
  Result.Burst = Result.RatePerSecond;
  return Result;
}

// A large, a middle and a small tenant.
std::vector<TenantLoad> sampleLoads() {
  return {loadOf("large", 430), loadOf("middle", 25), loadOf("small", 2.7)};
}

const std::vector<std::string> DataCentres = {"a", "b", "c"};

struct Fixture {
  VirtualMesh Mesh{DataCentres, NodesPerDataCentre, sampleLoads()};

  void checkBounds() {
    for (const TenantLoad &Load : Mesh.loads())
      BOOST_TEST(Mesh.mostInWindow(Load.Name) <= Mesh.bound(Load.Name),
                 Load.Name << ": " << Mesh.mostInWindow(Load.Name)
                           << " in a window, bound " << Mesh.bound(Load.Name));
  }
  void checkRefusals(const std::string &Name,
                     double ShareLimit = RefusedShareLimit) {
    const auto Counts = Mesh.countsOf(Name);
    BOOST_TEST_MESSAGE(Name << ": demanded " << Counts.Demanded << ", within "
                            << Counts.WithinQuota << ", admitted "
                            << Counts.Admitted);
    BOOST_TEST(Counts.refusedWithinQuota() <= ShareLimit * Counts.Demanded + 1,
               Name << ": " << Counts.refusedWithinQuota()
                    << " refused within the quota of " << Counts.Demanded);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(UsualDemandIsNotRefused, Fixture) {
  Mesh.run(Millis(30'000));
  checkBounds();
  for (const TenantLoad &Load : Mesh.loads())
    checkRefusals(Load.Name, 0.001);
}

BOOST_FIXTURE_TEST_CASE(KeepsAHotTenantToItsQuota, Fixture) {
  for (const char *Name : {"large", "middle", "small"}) {
    Mesh.run(Millis(10'000));
    const double Usual = Mesh.load(Name).DemandPerSecond;
    Mesh.load(Name).DemandPerSecond = 7.5 * Usual;
    Mesh.run(Millis(10'000));
    Mesh.load(Name).DemandPerSecond = Usual;
  }
  Mesh.run(Millis(10'000));
  checkBounds();
  for (const TenantLoad &Load : Mesh.loads())
    checkRefusals(Load.Name, 0.1);
}

BOOST_FIXTURE_TEST_CASE(DividesAQuotaByUnevenDemand, Fixture) {
  // One data centre, and in it a few nodes, have most of the demand.
  for (const char *Name : {"large", "middle", "small"}) {
    Mesh.load(Name).WeightOf = [](std::size_t Node) {
      return Node < 5 ? 20.0 : 1.0;
    };
    Mesh.load(Name).DemandPerSecond *= 1.4;
  }
  Mesh.run(Millis(30'000));
  checkBounds();
  for (const TenantLoad &Load : Mesh.loads())
    checkRefusals(Load.Name);
}

BOOST_FIXTURE_TEST_CASE(AdmitsTheQuotaWhileTheDemandMoves, Fixture) {
  for (const char *Name : {"large", "middle", "small"})
    Mesh.load(Name).DemandPerSecond *= 2.5;
  Mesh.run(Millis(10'000));
  for (const char *Name : {"large", "middle", "small"})
    Mesh.load(Name).WeightOf = [](std::size_t Node) {
      return Node < NodesPerDataCentre ? 4.0 : 1.0;
    };
  Mesh.run(Millis(10'000));
  checkBounds();
  for (const TenantLoad &Load : Mesh.loads())
    checkRefusals(Load.Name, 0.1);
}

BOOST_FIXTURE_TEST_CASE(ALowerQuotaBindsWithinOneWindow, Fixture) {
  Mesh.run(Millis(10'000));
  for (const char *Name : {"large", "middle", "small"})
    Mesh.setQuota(Name, Mesh.load(Name).RatePerSecond / 3,
                  Mesh.load(Name).Burst / 3);
  Mesh.run(Millis(5'000));
  Mesh.forgetHistory();
  Mesh.run(Millis(15'000));
  checkBounds();
}

BOOST_FIXTURE_TEST_CASE(KeepsTheQuotaWhenAHeadDies, Fixture) {
  for (const char *Name : {"large", "middle", "small"})
    Mesh.load(Name).DemandPerSecond *= 6;
  Mesh.run(Millis(10'000));
  Mesh.replaceHead("a", Millis(2'000));
  Mesh.run(Millis(10'000));
  checkBounds();
}

BOOST_FIXTURE_TEST_CASE(KeepsTheQuotaWhenADataCentreIsCutOff, Fixture) {
  Mesh.run(Millis(10'000));
  Mesh.cutOff("b");
  Mesh.run(Millis(3'000));
  for (const char *Name : {"large", "middle", "small"})
    Mesh.load(Name).DemandPerSecond *= 6;
  Mesh.run(Millis(3'000));
  Mesh.joinAgain("b");
  Mesh.run(Millis(10'000));
  checkBounds();
}

BOOST_FIXTURE_TEST_CASE(ACutOffDataCentreServesItsUsualDemand, Fixture) {
  Mesh.run(Millis(10'000));
  Mesh.cutOff("b");
  Mesh.run(Millis(6'000));
  Mesh.joinAgain("b");
  Mesh.run(Millis(5'000));
  checkBounds();
  for (const TenantLoad &Load : Mesh.loads())
    checkRefusals(Load.Name);
}

BOOST_FIXTURE_TEST_CASE(HeadsExchangeFewBytes, Fixture) {
  Mesh.run(Millis(5'000));
  const std::size_t Before = Mesh.ratesExchanged();
  Mesh.run(Millis(20'000));
  // Three tenants, six ways, a refresh each eight seconds, and as much again
  // for deviations.
  BOOST_TEST(Mesh.ratesExchanged() - Before <= 3U * 6U * 3U * 2U);
}

BOOST_AUTO_TEST_SUITE_END()
