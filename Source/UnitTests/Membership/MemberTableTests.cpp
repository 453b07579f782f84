#include <boost/test/unit_test.hpp>

#include "Membership/MemberTable.h"
#include "Membership/ServerLease.h"

BOOST_AUTO_TEST_SUITE(MemberTables)

namespace {

using Common::Millis;
using namespace Membership;

const Common::SteadyTime Start{Millis(1000)};
constexpr Millis SuspicionTimeout{500};
constexpr Millis DeadRetention{5000};

Member member(const std::string &Name, std::int64_t Incarnation) {
  Member Result;
  Result.Node = Name;
  Result.Address = "10.0.0.1";
  Result.PeerPort = 7;
  Result.Incarnation = Incarnation;
  Result.Endpoints = {{"s", "server-" + Name, 6, false}};
  return Result;
}

std::size_t liveServers(const MemberTable &Table) {
  const auto View = Table.servers();
  const auto Found = View->ByService.find("s");
  return Found == View->ByService.end() ? 0 : Found->second.size();
}

} // namespace

BOOST_AUTO_TEST_CASE(DropsTheServersOfASilentMember) {
  MemberTable Table(Member{});
  Table.merge(member("b", 1), Start);
  BOOST_TEST(Table.suspect("b", Start));
  Table.expire(Start + Millis(499), SuspicionTimeout, DeadRetention);
  BOOST_TEST(liveServers(Table) == 1);
  Table.expire(Start + Millis(501), SuspicionTimeout, DeadRetention);
  BOOST_TEST(liveServers(Table) == 0);
  Table.merge(member("b", 2), Start + Millis(600));
  BOOST_TEST(liveServers(Table) == 1);
}

BOOST_AUTO_TEST_CASE(RepeatedUpdatesDoNotRefuteASuspicion) {
  MemberTable Table(Member{});
  Table.merge(member("b", 1), Start);
  Table.suspect("b", Start);
  Table.merge(member("b", 1), Start + Millis(400));
  Table.expire(Start + Millis(501), SuspicionTimeout, DeadRetention);
  BOOST_TEST(liveServers(Table) == 0);
  Table.merge(member("b", 1), Start + Millis(600));
  BOOST_TEST(liveServers(Table) == 0);
}

BOOST_AUTO_TEST_CASE(IgnoresAnOlderIncarnation) {
  MemberTable Table(Member{});
  Member Leaving = member("b", 2);
  Leaving.State = Health::Left;
  Table.merge(Leaving, Start);
  Table.merge(member("b", 1), Start);
  BOOST_TEST(liveServers(Table) == 0);
}

BOOST_AUTO_TEST_CASE(SupersedesAnEarlierProcessOfTheSameName) {
  MemberTable Table(member("a", 5));
  Table.merge(member("a", 9), Start);
  BOOST_TEST(Table.self().Incarnation == 10);
}

// Guards against a departure that is forgotten when the node beside the server
// restarts: the new process has a higher incarnation and knows of no departure.
BOOST_AUTO_TEST_CASE(KeepsADepartureOverARestartOfItsNode) {
  const DepartedServer Departed{"server-b", Common::WallTime(Millis(5)),
                                Common::WallTime(Millis(20))};
  Member Earlier = member("b", 1);
  Earlier.Departed = Departed;
  MemberTable Table(Member{});
  Table.merge(Earlier, Start);
  BOOST_TEST(Table.merge(member("b", 2), Start));
  BOOST_TEST((Table.find("b")->Departed == Departed));
  // The new process learns of it, also from a record of its own incarnation.
  MemberTable Restarted(member("b", 2));
  BOOST_TEST(Restarted.merge(*Table.find("b"), Start));
  BOOST_TEST((Restarted.self().Departed == Departed));
  BOOST_TEST(!Restarted.merge(*Table.find("b"), Start));
  // A node that hears of it only from the earlier process keeps it as well.
  MemberTable Other(Member{});
  Other.merge(member("b", 2), Start);
  BOOST_TEST(Other.merge(Earlier, Start));
  BOOST_TEST((Other.find("b")->Departed == Departed));
  BOOST_TEST(Other.find("b")->Incarnation == 2);
}

BOOST_AUTO_TEST_CASE(RefutesASuspicionOfItself) {
  MemberTable Table(member("a", 5));
  Member Suspected = member("a", 5);
  Suspected.State = Health::Suspect;
  BOOST_TEST(Table.merge(Suspected, Start));
  BOOST_TEST(Table.self().Incarnation == 6);
}

BOOST_AUTO_TEST_CASE(ALeaseThatExpiredDuringAPauseEnds) {
  ServerLease Lease(Millis(3000));
  const Endpoint Server{"s", "server", 6, false};
  BOOST_TEST(Lease.renew(Server, Start));
  BOOST_TEST(!Lease.renew(Server, Start + Millis(500)));
  BOOST_TEST(!Lease.expire(Start + Millis(3500)).has_value());
  BOOST_TEST(Lease.expire(Start + Millis(60'000)).has_value());
  BOOST_TEST(!Lease.expire(Start + Millis(60'000)).has_value());
  BOOST_TEST(Lease.renew(Server, Start + Millis(60'000)));
}

BOOST_AUTO_TEST_SUITE_END()
