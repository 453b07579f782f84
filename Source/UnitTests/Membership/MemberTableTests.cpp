#include <boost/test/unit_test.hpp>

#include "Membership/MemberTable.h"

BOOST_AUTO_TEST_SUITE(MemberTables)

namespace {

using Common::Millis;
using namespace Membership;

const Common::SteadyTime Start{Millis(1000)};

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
  MemberTable Table(Member{}, Millis(500));
  Table.merge(member("b", 1), true, Start);
  BOOST_TEST(liveServers(Table) == 1);
  Table.expire(Start + Millis(501));
  BOOST_TEST(liveServers(Table) == 0);
  Table.merge(member("b", 1), true, Start + Millis(600));
  BOOST_TEST(liveServers(Table) == 1);
}

BOOST_AUTO_TEST_CASE(HearsayKeepsNobodyAlive) {
  MemberTable Table(Member{}, Millis(500));
  Table.merge(member("b", 1), true, Start);
  Table.merge(member("b", 1), false, Start + Millis(400));
  Table.expire(Start + Millis(501));
  BOOST_TEST(liveServers(Table) == 0);
}

BOOST_AUTO_TEST_CASE(AnOlderIncarnationChangesNothing) {
  MemberTable Table(Member{}, Millis(500));
  Member Leaving = member("b", 2);
  Leaving.State = Health::Left;
  Table.merge(Leaving, true, Start);
  Table.merge(member("b", 1), true, Start);
  BOOST_TEST(liveServers(Table) == 0);
}

BOOST_AUTO_TEST_CASE(OutbidsAnEarlierProcessOfItsOwnName) {
  MemberTable Table(member("a", 5), Millis(500));
  Table.merge(member("a", 9), false, Start);
  BOOST_TEST(Table.self().Incarnation == 10);
}

BOOST_AUTO_TEST_SUITE_END()
