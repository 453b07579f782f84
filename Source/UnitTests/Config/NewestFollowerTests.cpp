#include <boost/test/unit_test.hpp>

#include "Config/NewestFollower.h"

BOOST_AUTO_TEST_SUITE(NewestFollowers)

namespace {

using namespace Config;
using Common::Millis;
using Common::ResultCode;

struct Fixture {
  NewestFollower Tested{FollowOptions(), 1};
  Common::SteadyTime Now{Millis(1000)};
  std::vector<FollowPeer> Peers = {{"a", "a:1", 0}, {"b", "b:1", 0}};

  FollowActions answer(ResultCode Code, SourcePosition Next = 0) {
    return Tested.answered({Code, "", Next, ""}, Now);
  }
  // What is asked for within so long, in steps of a tick.
  FollowActions wait(Millis Time) {
    FollowActions All;
    for (const auto End = Now + Time; Now < End; Now += Millis(100))
      for (FollowAction &Each : Tested.tick(Peers, Now))
        All.push_back(std::move(Each));
    return All;
  }
};

template <class A> int count(const FollowActions &Actions) {
  int Result = 0;
  for (const FollowAction &Each : Actions)
    Result += std::holds_alternative<A>(Each) ? 1 : 0;
  return Result;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(ReadsOnFromWhereItStopped, Fixture) {
  BOOST_TEST(count<ReadNewestSet>(Tested.start(Now)) == 1);
  const auto Next = answer(ResultCode::Ok, 7);
  BOOST_REQUIRE_EQUAL(count<ReadOnFrom>(Next), 1);
  BOOST_TEST(std::get<ReadOnFrom>(Next[0]).From == 7);
}

BOOST_FIXTURE_TEST_CASE(StartsAnewWhenTheSourceForgot, Fixture) {
  Tested.start(Now);
  answer(ResultCode::Ok, 7);
  BOOST_TEST(count<ReadNewestSet>(answer(ResultCode::LogOffsetExpired)) == 1);
}

BOOST_FIXTURE_TEST_CASE(NeverMovesBack, Fixture) {
  BOOST_TEST(Tested.offer(5));
  BOOST_TEST(!Tested.offer(5));
  BOOST_TEST(!Tested.offer(4));
  BOOST_TEST(Tested.held() == 5);
}

BOOST_FIXTURE_TEST_CASE(AsksPeersWhileTheSourceRefusesIt, Fixture) {
  Tested.start(Now);
  answer(ResultCode::LogUnavailable);
  const auto Actions = wait(Millis(1000));
  BOOST_TEST(count<AskPeer>(Actions) >= 1);
  BOOST_TEST(count<ReadNewestSet>(Actions) >= 1);
}

BOOST_FIXTURE_TEST_CASE(TakesItsReadForDeadWhenAPeerIsAhead, Fixture) {
  Tested.start(Now);
  Tested.offer(3);
  answer(ResultCode::Ok, 7);
  BOOST_TEST(wait(Millis(1000)).empty());
  Peers[1].Held = 4;
  const auto Actions = wait(Millis(400));
  BOOST_TEST(count<AskPeer>(Actions) == 1);
  BOOST_TEST(count<CancelRead>(Actions) == 1);
  BOOST_TEST(std::get<AskPeer>(Actions[0]).Address == "b:1");
}

BOOST_FIXTURE_TEST_CASE(GathersChangesThatComeInSeries, Fixture) {
  Tested.start(Now);
  Tested.offer(3);
  Peers[0].Held = 9;
  BOOST_TEST(Tested.answered({ResultCode::Ok, "a set", 7, ""}, Now).empty());
  BOOST_TEST(wait(Millis(500)).empty());
  const auto Actions = wait(Millis(300));
  BOOST_REQUIRE_EQUAL(count<ReadOnFrom>(Actions), 1);
  BOOST_TEST(std::get<ReadOnFrom>(Actions[0]).From == 7);
}

BOOST_FIXTURE_TEST_CASE(LeavesPeersAloneInCalm, Fixture) {
  Tested.start(Now);
  Tested.offer(3);
  answer(ResultCode::Ok, 7);
  Peers[0].Held = 3;
  BOOST_TEST(wait(Millis(20'000)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
