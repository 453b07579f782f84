#include <boost/test/unit_test.hpp>

#include "Common/Rendezvous.h"
#include "Config/ConfigFollower.h"

BOOST_AUTO_TEST_SUITE(ConfigFollowers)

namespace {

using namespace Config;
using Common::Millis;
using Common::ResultCode;

struct Fixture {
  ConfigFollower Tested{FollowOptions(), 1};
  Common::SteadyTime Now{Millis(1000)};
  // In other data centres than the tested node.
  std::vector<FollowPeer> Peers = {{"a", "x", "a:1", 0}, {"b", "y", "b:1", 0}};

  // Meets nobody, so that it reads the source.
  FollowActions startAlone() {
    Tested.start(Now);
    Now += FollowOptions().MeetTime;
    return Tested.tick(Now);
  }
  FollowActions answer(ResultCode Code, SourcePosition Next = 0) {
    return Tested.answered({Code, "", Next, ""}, Now);
  }
  // What is asked for within so long, in steps of a tick.
  FollowActions wait(Millis Time) {
    FollowActions All;
    Tested.usePeers(Peers);
    for (const auto End = Now + Time; Now < End; Now += Millis(100))
      for (FollowAction &Each : Tested.tick(Now))
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
  BOOST_TEST(count<ReadNewestSet>(startAlone()) == 1);
  const auto Next = answer(ResultCode::Ok, 7);
  BOOST_REQUIRE_EQUAL(count<ReadFrom>(Next), 1);
  BOOST_TEST(std::get<ReadFrom>(Next[0]).From == 7);
}

BOOST_FIXTURE_TEST_CASE(StartsAnewWhenTheSourceForgot, Fixture) {
  startAlone();
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
  startAlone();
  answer(ResultCode::LogUnavailable);
  const auto Actions = wait(Millis(1000));
  BOOST_TEST(count<RequestFromPeer>(Actions) >= 1);
  BOOST_TEST(count<ReadNewestSet>(Actions) >= 1);
}

BOOST_FIXTURE_TEST_CASE(TakesItsReadForDeadWhenAPeerIsAhead, Fixture) {
  startAlone();
  Tested.offer(3);
  answer(ResultCode::Ok, 7);
  BOOST_TEST(wait(Millis(500)).empty());
  Peers[1].Held = 4;
  const auto Actions = wait(Millis(400));
  BOOST_TEST(count<RequestFromPeer>(Actions) == 1);
  BOOST_TEST(count<CancelRead>(Actions) == 1);
  BOOST_TEST(std::get<RequestFromPeer>(Actions[0]).Address == "b:1");
}

BOOST_FIXTURE_TEST_CASE(GathersChangesThatComeInSeries, Fixture) {
  startAlone();
  Tested.offer(3);
  Peers[0].Held = 9;
  BOOST_TEST(Tested.answered({ResultCode::Ok, "a set", 7, ""}, Now).empty());
  BOOST_TEST(wait(Millis(500)).empty());
  const auto Actions = wait(Millis(300));
  BOOST_REQUIRE_EQUAL(count<ReadFrom>(Actions), 1);
  BOOST_TEST(std::get<ReadFrom>(Actions[0]).From == 7);
  BOOST_TEST((std::get<ReadFrom>(Actions[0]).Wait == Millis(0)));
}

BOOST_FIXTURE_TEST_CASE(LeavesPeersAloneInCalm, Fixture) {
  startAlone();
  Tested.offer(3);
  answer(ResultCode::Ok, 7);
  Peers[0].Held = 3;
  const Millis Wait = std::chrono::duration_cast<Millis>(FollowOptions().Wait);
  for (Millis Passed{0}; Passed < Millis(20'000); Passed += Wait) {
    BOOST_TEST(wait(Wait).empty());
    const auto Next = answer(ResultCode::Ok, 7);
    BOOST_REQUIRE_EQUAL(Next.size(), 1);
    BOOST_TEST(count<ReadFrom>(Next) == 1);
  }
}

namespace {

// A node whose data centre has one more, which is its reader.
struct InCompany : Fixture {
  FollowPeer Companion;

  InCompany() {
    FollowOptions Options;
    Options.Node = "n";
    Options.DataCentre = "x";
    // By trial, the first name that goes before the node's own.
    for (int Number = 0; Companion.Node.empty(); ++Number) {
      const std::string Name = "m" + std::to_string(Number);
      if (Common::rankByRendezvous("reader/x", {"n", Name}).front() == Name)
        Companion = {Name, "x", "m:1", 3};
    }
    Tested = ConfigFollower(Options, 1);
    Peers = {Companion, {"b", "y", "b:1", 3}};
    startAlone();
    Tested.usePeers(Peers);
    Tested.offer(3);
  }
  void useReader() {
    const auto Next = answer(ResultCode::Ok, 7);
    BOOST_REQUIRE_EQUAL(count<LongPollReader>(Next), 1);
    BOOST_TEST(std::get<LongPollReader>(Next[0]).Address == "m:1");
  }
};

} // namespace

// Load pattern: changes every fifth of a second to a set of 1,100 routes, and
// links on which one set takes a fifth of a second. Read by every node, the
// sets held up the calls for 12 seconds of a quiet day.
BOOST_FIXTURE_TEST_CASE(WaitsAtItsReaderInsteadOfTheSource, InCompany) {
  useReader();
  for (int Round = 0; Round < 10; ++Round) {
    BOOST_TEST(wait(Millis(900)).empty());
    const auto Next = Tested.peerAnswered(Companion.Node, true, Now);
    BOOST_REQUIRE_EQUAL(Next.size(), 1);
    BOOST_TEST(count<LongPollReader>(Next) == 1);
  }
}

BOOST_FIXTURE_TEST_CASE(TheFirstInRankReadsTheSource, InCompany) {
  Peers.erase(Peers.begin());
  Tested.usePeers(Peers);
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 7)) == 1);
  BOOST_TEST(Tested.isInTouch(Now));
}

BOOST_FIXTURE_TEST_CASE(ReadsForItselfWhenTheReaderIsSilent, InCompany) {
  useReader();
  BOOST_TEST(!Tested.isInTouch(Now));
  const auto Actions = wait(Millis(1400));
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST(count<ReadFrom>(Actions) == 1);
  // It stays with the source for a while, then trusts the reader again.
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 8)) == 1);
  Now += Millis(2000);
  BOOST_TEST(count<LongPollReader>(answer(ResultCode::Ok, 8)) == 1);
}

BOOST_FIXTURE_TEST_CASE(ReadsForItselfWhenTheReaderHasNoSource, InCompany) {
  useReader();
  BOOST_TEST(count<ReadFrom>(Tested.peerAnswered(Companion.Node, false, Now)) ==
             1);
}

BOOST_FIXTURE_TEST_CASE(ReadsForItselfWhenTheReaderIsGone, InCompany) {
  useReader();
  BOOST_TEST(Tested.peerLost("b:1", Now).empty());
  BOOST_TEST(count<ReadFrom>(Tested.peerLost("m:1", Now)) == 1);
}

BOOST_FIXTURE_TEST_CASE(TakesUpTheSourceWhenItBecomesReader, InCompany) {
  useReader();
  Peers.erase(Peers.begin());
  BOOST_TEST(count<ReadFrom>(wait(Millis(200))) == 1);
}

// The source would send every set since the last one read from it.
BOOST_FIXTURE_TEST_CASE(ReadsOnlyTheNewestAfterSetsFromItsReader, InCompany) {
  useReader();
  Tested.offer(9);
  BOOST_TEST(count<ReadNewestSet>(Tested.peerLost("m:1", Now)) == 1);
}

BOOST_FIXTURE_TEST_CASE(AsksAPeerThatIsAheadOfItsReader, InCompany) {
  useReader();
  Peers[1].Held = 4;
  const auto Actions = wait(Millis(400));
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST(std::get<RequestFromPeer>(Actions[0]).Address == "b:1");
}

BOOST_FIXTURE_TEST_CASE(AReaderWithoutAnswersIsNotInTouch, InCompany) {
  Peers.erase(Peers.begin());
  Tested.usePeers(Peers);
  answer(ResultCode::Ok, 7);
  Now += Millis(4000);
  BOOST_TEST(!Tested.isInTouch(Now));
  answer(ResultCode::Ok, 7);
  answer(ResultCode::LogUnavailable);
  BOOST_TEST(!Tested.isInTouch(Now));
}

// Load pattern: the reader of 15 nodes is cut off from the source while changes
// come each second. Read by each of them, the whole sets left no processor time
// for calls on links of 7 Mbit/s.
BOOST_FIXTURE_TEST_CASE(AsksTheSecondInRankBeforeItReadsForItself, Fixture) {
  FollowOptions Options;
  Options.Node = "n";
  Options.DataCentre = "x";
  // By trial, two names that go before the node's own.
  std::vector<std::string> Ranked;
  for (int Number = 0; Ranked.size() < 3 || Ranked[2] != "n"; ++Number)
    Ranked =
        Common::rankByRendezvous("reader/x", {"n", "a" + std::to_string(Number),
                                              "b" + std::to_string(Number)});
  Tested = ConfigFollower(Options, 1);
  startAlone();
  Tested.usePeers(
      {{Ranked[0], "x", "first:1", 3}, {Ranked[1], "x", "second:1", 3}});
  Tested.offer(3);
  const auto AtFirst = answer(ResultCode::Ok, 7);
  BOOST_REQUIRE_EQUAL(count<LongPollReader>(AtFirst), 1);
  BOOST_TEST(std::get<LongPollReader>(AtFirst[0]).Address == "first:1");
  const auto AtSecond = Tested.peerAnswered(Ranked[0], false, Now);
  BOOST_REQUIRE_EQUAL(count<LongPollReader>(AtSecond), 1);
  BOOST_TEST(std::get<LongPollReader>(AtSecond[0]).Address == "second:1");
  BOOST_TEST(count<ReadFrom>(Tested.peerAnswered(Ranked[1], false, Now)) == 1);
  // The first is asked again after a while.
  Now += Options.OwnReadTime;
  const auto Again = answer(ResultCode::Ok, 8);
  BOOST_REQUIRE_EQUAL(count<LongPollReader>(Again), 1);
  BOOST_TEST(std::get<LongPollReader>(Again[0]).Address == "first:1");
}

BOOST_FIXTURE_TEST_CASE(TakesOverWhenItIsAskedInPlaceOfItsReader, InCompany) {
  useReader();
  const auto Actions = Tested.asked(Now);
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST((std::get<ReadFrom>(Actions[0]).Wait == Millis(0)));
  BOOST_TEST(Tested.isTakingOver());
  BOOST_TEST(!Tested.isInTouch(Now));
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 8)) == 1);
  BOOST_TEST(!Tested.isTakingOver());
  BOOST_TEST(Tested.isInTouch(Now));
  // It reads on as long as it is asked.
  Now += Millis(1500);
  BOOST_TEST(Tested.asked(Now).empty());
  Now += Millis(1500);
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 8)) == 1);
  Now += Millis(1000);
  BOOST_TEST(count<LongPollReader>(answer(ResultCode::Ok, 8)) == 1);
}

namespace {

// What a reader that is cut off in silence may take to notice: the rest of the
// two seconds for a change is for the reads of the nodes that wait at it.
constexpr Millis NoticeLimit{1'200};

} // namespace

BOOST_FIXTURE_TEST_CASE(AReaderThatIsCutOffInSilenceKnowsSoonEnough,
                        InCompany) {
  Peers.erase(Peers.begin());
  Tested.usePeers(Peers);
  answer(ResultCode::Ok, 7);
  BOOST_TEST(Tested.isInTouch(Now));
  // The next change comes right after this one, and the cut with it.
  Tested.offer(4);
  BOOST_TEST(Tested.answered({ResultCode::Ok, "a set", 8, ""}, Now).empty());
  const auto Actions = wait(NoticeLimit);
  BOOST_TEST(count<CancelRead>(Actions) == 1);
  BOOST_TEST(Tested.isCutOff());
  BOOST_TEST(!Tested.isInTouch(Now));
}

BOOST_FIXTURE_TEST_CASE(AReaderWhoseReadIsCutOffKnowsSoonEnough, InCompany) {
  Peers.erase(Peers.begin());
  Tested.usePeers(Peers);
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 7)) == 1);
  wait(NoticeLimit);
  BOOST_TEST(Tested.isCutOff());
}

// Load pattern: sets of 0.2 MB in series, on links of 7 Mbit/s.
BOOST_FIXTURE_TEST_CASE(AReadWhoseAnswerComesInPartsIsAlive, InCompany) {
  Peers.erase(Peers.begin());
  Tested.usePeers(Peers);
  answer(ResultCode::Ok, 7);
  for (int Part = 0; Part < 20; ++Part) {
    BOOST_TEST(wait(Millis(200)).empty());
    Tested.readProgressed(Now);
  }
  BOOST_TEST(Tested.isInTouch(Now));
  BOOST_TEST(count<CancelRead>(wait(Millis(700))) == 1);
}

BOOST_FIXTURE_TEST_CASE(ASourceThatIsSlowIsReadAllTheSame, InCompany) {
  constexpr Millis Late{900};
  const Millis Wait = std::chrono::duration_cast<Millis>(FollowOptions().Wait);
  Peers.erase(Peers.begin());
  Tested.usePeers(Peers);
  answer(ResultCode::Ok, 7);
  // Each answer comes late, unless its read was taken for dead before.
  int Dead = 0;
  int Answered = 0;
  for (Millis Passed{0}; Passed < Millis(20'000); Passed += Wait + Late) {
    if (count<CancelRead>(wait(Wait + Late)) > 0) {
      ++Dead;
      continue;
    }
    answer(ResultCode::Ok, 7);
    ++Answered;
  }
  BOOST_TEST(Dead <= 3);
  BOOST_TEST(Answered >= 5);
  BOOST_TEST(Tested.isInTouch(Now));
}

BOOST_FIXTURE_TEST_CASE(AReaderThatTakesItsReadForDeadIsNotInTouch, InCompany) {
  Peers.erase(Peers.begin());
  Tested.usePeers(Peers);
  answer(ResultCode::Ok, 7);
  Peers[0].Held = 9;
  BOOST_TEST(count<CancelRead>(wait(Millis(400))) == 1);
  BOOST_TEST(!Tested.isInTouch(Now));
  answer(ResultCode::Ok, 8);
  BOOST_TEST(Tested.isInTouch(Now));
}

// Load pattern: fifty of 82 nodes are killed at once, and each one that comes
// back needs the whole set: 0.2 MB and more from the source, on links of
// 7 Mbit/s that carry the calls as well.
BOOST_FIXTURE_TEST_CASE(ANewNodeAsksAPeerThatHasASetFirst, Fixture) {
  Peers[1].Held = 4;
  BOOST_TEST(Tested.start(Now).empty());
  const auto Actions = wait(Millis(400));
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST(std::get<RequestFromPeer>(Actions[0]).Address == "b:1");
  // Without an answer it reads the source.
  BOOST_TEST(count<ReadNewestSet>(wait(Millis(300))) == 1);
}

BOOST_FIXTURE_TEST_CASE(AmongNewNodesTheSourceIsReadAtOnce, Fixture) {
  Tested.start(Now);
  BOOST_TEST(count<RequestFromPeer>(wait(Millis(100))) == 1);
  BOOST_TEST(count<ReadNewestSet>(Tested.peerAnswered("a", false, Now)) == 1);
  BOOST_TEST(Tested.peerAnswered("b", false, Now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
