#include <functional>

#include <boost/test/unit_test.hpp>

#include "Common/Rendezvous.h"
#include "Config/ConfigFollower.h"

BOOST_AUTO_TEST_SUITE(ConfigFollowers)

namespace {

using namespace Config;
using Common::Millis;
using Common::ResultCode;

struct FollowerFixture {
  ConfigFollower Follower{FollowOptions(), 1};
  Common::SteadyTime Now{Millis(1000)};
  // In different data centres from the tested node.
  std::vector<FollowPeer> Peers = {{"a", "x", "a:1", 0}, {"b", "y", "b:1", 0}};

  // Discovers no peers, so that the node reads the source.
  FollowActions startWithoutPeers() {
    Follower.start(Now);
    Now += FollowOptions().PeerDiscoveryTime;
    return Follower.tick(Now);
  }
  FollowActions answer(ResultCode Code, SourcePosition Next = 0) {
    return Follower.handleSourceAnswer({Code, "", Next, ""}, Now);
  }
  // Runs the periodic ticks for this time and returns their actions.
  FollowActions runTicks(Millis Length) {
    FollowActions Actions;
    Follower.setPeers(Peers);
    for (const auto End = Now + Length; Now < End; Now += Millis(100))
      for (FollowAction &Action : Follower.tick(Now))
        Actions.push_back(std::move(Action));
    return Actions;
  }
};

template <class A> int count(const FollowActions &Actions) {
  int Result = 0;
  for (const FollowAction &Action : Actions)
    Result += std::holds_alternative<A>(Action) ? 1 : 0;
  return Result;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(ContinuesFromTheLastPosition, FollowerFixture) {
  BOOST_TEST(count<ReadNewestSet>(startWithoutPeers()) == 1);
  const auto Next = answer(ResultCode::Ok, 7);
  BOOST_REQUIRE_EQUAL(count<ReadFrom>(Next), 1);
  BOOST_TEST(std::get<ReadFrom>(Next[0]).From == 7);
}

BOOST_FIXTURE_TEST_CASE(ReadsTheNewestSetWhenThePositionExpired,
                        FollowerFixture) {
  startWithoutPeers();
  answer(ResultCode::Ok, 7);
  BOOST_TEST(count<ReadNewestSet>(answer(ResultCode::LogOffsetExpired)) == 1);
}

// Guards against a read that goes on from a position of before the source came
// back from an older copy, where another record is now. The answer may hold
// records or none.
BOOST_FIXTURE_TEST_CASE(ReadsTheNewestSetInALaterEra, FollowerFixture) {
  for (const char *Content : {"", "a set"}) {
    Follower = ConfigFollower(FollowOptions(), 1);
    startWithoutPeers();
    Follower.handleSourceAnswer({ResultCode::Ok, "", 7, "", 1}, Now);
    const SourceAnswer Later{ResultCode::Ok, Content, 7, "", 3};
    BOOST_TEST(!Follower.isUsable(Later));
    BOOST_TEST(count<ReadNewestSet>(Follower.handleSourceAnswer(Later, Now)) ==
               1);
    // The newest set was read in the later era.
    const SourceAnswer Newest{ResultCode::Ok, "", 2, "", 3};
    BOOST_TEST(Follower.isUsable(Newest));
    const auto Next = Follower.handleSourceAnswer(Newest, Now);
    BOOST_REQUIRE_EQUAL(count<ReadFrom>(Next), 1);
    BOOST_TEST(std::get<ReadFrom>(Next[0]).From == 2);
  }
}

// A refusal may be the first answer of a later era.
BOOST_FIXTURE_TEST_CASE(ReadsTheNewestSetAfterARefusalInALaterEra,
                        FollowerFixture) {
  startWithoutPeers();
  Follower.handleSourceAnswer({ResultCode::Ok, "", 7, "", 1}, Now);
  Follower.handleSourceAnswer({ResultCode::LogUnavailable, "", 0, "", 2}, Now);
  const auto Actions = runTicks(Millis(500));
  BOOST_TEST(count<ReadNewestSet>(Actions) == 1);
  BOOST_TEST(count<ReadFrom>(Actions) == 0);
}

// The newest set was read just before the source came back, and its answer
// arrives after that of another call.
BOOST_FIXTURE_TEST_CASE(IgnoresAnAnswerOfAnEarlierEra, FollowerFixture) {
  startWithoutPeers();
  BOOST_TEST(Follower.handleEra(2, Now).empty());
  const SourceAnswer Late{ResultCode::Ok, "a set", 7, "", 1};
  BOOST_TEST(!Follower.isUsable(Late));
  BOOST_TEST(count<ReadNewestSet>(Follower.handleSourceAnswer(Late, Now)) == 1);
}

// Another call, or a peer, may tell first.
BOOST_FIXTURE_TEST_CASE(CancelsItsReadWhenALaterEraIsKnown, FollowerFixture) {
  startWithoutPeers();
  Follower.handleSourceAnswer({ResultCode::Ok, "", 7, "", 1}, Now);
  const auto Actions = Follower.handleEra(2, Now);
  BOOST_TEST(count<CancelRead>(Actions) == 1);
  BOOST_TEST(count<ReadNewestSet>(Actions) == 1);
  BOOST_TEST(Follower.handleEra(2, Now).empty());
  BOOST_TEST(Follower.handleEra(1, Now).empty());
  BOOST_TEST(Follower.handleEra(std::nullopt, Now).empty());
}

BOOST_FIXTURE_TEST_CASE(VersionNeverDecreases, FollowerFixture) {
  BOOST_TEST(Follower.adoptVersion(5));
  BOOST_TEST(!Follower.adoptVersion(5));
  BOOST_TEST(!Follower.adoptVersion(4));
  BOOST_TEST(Follower.held() == 5);
}

BOOST_FIXTURE_TEST_CASE(RequestsFromPeersWhileTheSourceFails, FollowerFixture) {
  startWithoutPeers();
  answer(ResultCode::LogUnavailable);
  const auto Actions = runTicks(Millis(1000));
  BOOST_TEST(count<RequestFromPeer>(Actions) >= 1);
  BOOST_TEST(count<ReadNewestSet>(Actions) >= 1);
}

BOOST_FIXTURE_TEST_CASE(CancelsItsReadWhenAPeerIsAhead, FollowerFixture) {
  startWithoutPeers();
  Follower.adoptVersion(3);
  answer(ResultCode::Ok, 7);
  BOOST_TEST(runTicks(Millis(500)).empty());
  Peers[1].Held = 4;
  const auto Actions = runTicks(Millis(400));
  BOOST_TEST(count<RequestFromPeer>(Actions) == 1);
  BOOST_TEST(count<CancelRead>(Actions) == 1);
  BOOST_TEST(std::get<RequestFromPeer>(Actions[0]).Address == "b:1");
}

BOOST_FIXTURE_TEST_CASE(BatchesChangesThatArriveInSeries, FollowerFixture) {
  startWithoutPeers();
  Follower.adoptVersion(3);
  Peers[0].Held = 9;
  BOOST_TEST(Follower.handleSourceAnswer({ResultCode::Ok, "a set", 7, ""}, Now)
                 .empty());
  BOOST_TEST(runTicks(Millis(500)).empty());
  const auto Actions = runTicks(Millis(300));
  BOOST_REQUIRE_EQUAL(count<ReadFrom>(Actions), 1);
  BOOST_TEST(std::get<ReadFrom>(Actions[0]).From == 7);
  BOOST_TEST((std::get<ReadFrom>(Actions[0]).Wait == Millis(0)));
}

BOOST_FIXTURE_TEST_CASE(SendsNoPeerRequestsWhileUpToDate, FollowerFixture) {
  startWithoutPeers();
  Follower.adoptVersion(3);
  answer(ResultCode::Ok, 7);
  Peers[0].Held = 3;
  const Millis Wait =
      std::chrono::duration_cast<Millis>(FollowOptions().SourceWait);
  for (Millis Elapsed{0}; Elapsed < Millis(20'000); Elapsed += Wait) {
    BOOST_TEST(runTicks(Wait).empty());
    const auto Next = answer(ResultCode::Ok, 7);
    BOOST_REQUIRE_EQUAL(Next.size(), 1);
    BOOST_TEST(count<ReadFrom>(Next) == 1);
  }
}

namespace {

// A node with one other node in its data centre, which is the reader.
struct ReaderFixture : FollowerFixture {
  FollowPeer ReaderPeer;

  ReaderFixture() {
    FollowOptions Options;
    Options.Node = "n";
    Options.DataCentre = "x";
    // Finds a name that ranks before the name of the tested node.
    for (int Suffix = 0; ReaderPeer.Node.empty(); ++Suffix) {
      const std::string Name = "m" + std::to_string(Suffix);
      if (Common::rankByRendezvous("reader/x", {"n", Name}).front() == Name)
        ReaderPeer = {Name, "x", "m:1", 3};
    }
    Follower = ConfigFollower(Options, 1);
    Peers = {ReaderPeer, {"b", "y", "b:1", 3}};
    startWithoutPeers();
    Follower.setPeers(Peers);
    Follower.adoptVersion(3);
  }
  void pollReader() {
    const auto Next = answer(ResultCode::Ok, 7);
    BOOST_REQUIRE_EQUAL(count<LongPollReader>(Next), 1);
    BOOST_TEST(std::get<LongPollReader>(Next[0]).Address == "m:1");
  }
};

} // namespace

// Load pattern: a change every fifth of a second to a set of 1,100 routes, on
// links where the transfer of one set takes a fifth of a second. When every
// node read the source, the sets delayed calls for 12 seconds of a quiet day.
BOOST_FIXTURE_TEST_CASE(LongPollsTheReaderInsteadOfTheSource, ReaderFixture) {
  pollReader();
  for (int Round = 0; Round < 10; ++Round) {
    BOOST_TEST(runTicks(Millis(900)).empty());
    const auto Next = Follower.handlePeerAnswer(ReaderPeer.Node, true, Now);
    BOOST_REQUIRE_EQUAL(Next.size(), 1);
    BOOST_TEST(count<LongPollReader>(Next) == 1);
  }
}

// A node that polls its reader does not read the source because of a later era,
// and does not go on from its old position when it takes over.
BOOST_FIXTURE_TEST_CASE(ALaterEraSendsNoFollowerToTheSource, ReaderFixture) {
  Follower.handleSourceAnswer({ResultCode::Ok, "", 7, "", 1}, Now);
  BOOST_TEST(Follower.polledReader() == ReaderPeer.Node);
  BOOST_TEST(Follower.handleEra(2, Now).empty());
  BOOST_TEST(count<ReadNewestSet>(
                 Follower.handlePeerAnswer(ReaderPeer.Node, false, Now)) == 1);
}

BOOST_FIXTURE_TEST_CASE(TheFirstRankReadsTheSource, ReaderFixture) {
  Peers.erase(Peers.begin());
  Follower.setPeers(Peers);
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 7)) == 1);
  BOOST_TEST(Follower.isConnectedToSource(Now));
}

BOOST_FIXTURE_TEST_CASE(ReadsTheSourceWhenTheReaderTimesOut, ReaderFixture) {
  pollReader();
  BOOST_TEST(!Follower.isConnectedToSource(Now));
  const auto Actions = runTicks(Millis(1400));
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST(count<ReadFrom>(Actions) == 1);
  // The node reads the source for a while before it polls the reader again.
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 8)) == 1);
  Now += Millis(2000);
  BOOST_TEST(count<LongPollReader>(answer(ResultCode::Ok, 8)) == 1);
}

BOOST_FIXTURE_TEST_CASE(ReadsTheSourceWhenTheReaderIsDisconnected,
                        ReaderFixture) {
  pollReader();
  BOOST_TEST(count<ReadFrom>(
                 Follower.handlePeerAnswer(ReaderPeer.Node, false, Now)) == 1);
}

BOOST_FIXTURE_TEST_CASE(ReadsTheSourceWhenTheReaderIsLost, ReaderFixture) {
  pollReader();
  BOOST_TEST(Follower.handlePeerLost("b:1", Now).empty());
  BOOST_TEST(count<ReadFrom>(Follower.handlePeerLost("m:1", Now)) == 1);
}

BOOST_FIXTURE_TEST_CASE(ReadsTheSourceWhenItBecomesTheReader, ReaderFixture) {
  pollReader();
  Peers.erase(Peers.begin());
  BOOST_TEST(count<ReadFrom>(runTicks(Millis(200))) == 1);
}

// A read from the last position would return every set since then.
BOOST_FIXTURE_TEST_CASE(ReadsOnlyTheNewestSetAfterSetsFromTheReader,
                        ReaderFixture) {
  pollReader();
  Follower.adoptVersion(9);
  BOOST_TEST(count<ReadNewestSet>(Follower.handlePeerLost("m:1", Now)) == 1);
}

BOOST_FIXTURE_TEST_CASE(RequestsFromAPeerThatIsAheadOfTheReader,
                        ReaderFixture) {
  pollReader();
  Peers[1].Held = 4;
  const auto Actions = runTicks(Millis(400));
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST(std::get<RequestFromPeer>(Actions[0]).Address == "b:1");
}

BOOST_FIXTURE_TEST_CASE(AReaderWithoutAnswersIsNotConnected, ReaderFixture) {
  Peers.erase(Peers.begin());
  Follower.setPeers(Peers);
  answer(ResultCode::Ok, 7);
  Now += Millis(4000);
  BOOST_TEST(!Follower.isConnectedToSource(Now));
  answer(ResultCode::Ok, 7);
  answer(ResultCode::LogUnavailable);
  BOOST_TEST(!Follower.isConnectedToSource(Now));
}

namespace {

// A node of the third rank in its data centre.
struct ThirdRankFixture : FollowerFixture {
  FollowOptions Options;
  std::vector<std::string> Ranked;

  ThirdRankFixture() {
    Options.Node = "n";
    Options.DataCentre = "x";
    // Finds two names that rank before the name of the tested node.
    for (int Suffix = 0; Ranked.size() < 3 || Ranked[2] != "n"; ++Suffix)
      Ranked = Common::rankByRendezvous(
          "reader/x",
          {"n", "a" + std::to_string(Suffix), "b" + std::to_string(Suffix)});
    Follower = ConfigFollower(Options, 1);
    Peers = {{Ranked[0], "x", "first:1", 3}, {Ranked[1], "x", "second:1", 3}};
    startWithoutPeers();
    Follower.setPeers(Peers);
    Follower.adoptVersion(3);
  }
  // Runs ticks until the node reads the source and returns how long that took.
  // Events are called with the time since the start before each tick.
  Millis timeToRead(const std::function<FollowActions(Millis)> &OnTick = {}) {
    constexpr Millis Limit{10'000};
    for (Millis Elapsed{0}; Elapsed < Limit; Elapsed += Millis(50)) {
      FollowActions Actions = OnTick ? OnTick(Elapsed) : FollowActions();
      if (Elapsed % Millis(100) == Millis(0))
        for (FollowAction &Action : Follower.tick(Now))
          Actions.push_back(std::move(Action));
      if (count<ReadFrom>(Actions) + count<ReadNewestSet>(Actions) > 0)
        return Elapsed;
      Now += Millis(50);
    }
    return Limit;
  }
};

} // namespace

// Load pattern: the reader of 15 nodes is disconnected from the source while
// changes arrive every second, on links of 7 Mbit/s. When every node read the
// whole sets from the source, no processor time was left for calls.
BOOST_FIXTURE_TEST_CASE(PollsTheSecondRankBeforeItReadsTheSource,
                        ThirdRankFixture) {
  const auto FirstPoll = answer(ResultCode::Ok, 7);
  BOOST_REQUIRE_EQUAL(count<LongPollReader>(FirstPoll), 1);
  BOOST_TEST(std::get<LongPollReader>(FirstPoll[0]).Address == "first:1");
  const auto SecondPoll = Follower.handlePeerAnswer(Ranked[0], false, Now);
  BOOST_REQUIRE_EQUAL(count<LongPollReader>(SecondPoll), 1);
  BOOST_TEST(std::get<LongPollReader>(SecondPoll[0]).Address == "second:1");
  BOOST_TEST(
      count<ReadFrom>(Follower.handlePeerAnswer(Ranked[1], false, Now)) == 1);
  // The first rank is polled again after DirectReadTime.
  Now += Options.DirectReadTime;
  const auto Again = answer(ResultCode::Ok, 8);
  BOOST_REQUIRE_EQUAL(count<LongPollReader>(Again), 1);
  BOOST_TEST(std::get<LongPollReader>(Again[0]).Address == "first:1");
}

namespace {

// A change has to be in force two seconds after its acknowledgement. A read of
// the source may take up to MinReadSlack of that.
constexpr Millis ReadStartLimit{1'650};

} // namespace

// Guards against an old configuration in force for longer than two seconds
// after a change: both nodes that read the source for the data centre lost
// power, and the time limits of the two long polls added up.
BOOST_FIXTURE_TEST_CASE(ReadsTheSourceInTimeWhenBothReadersAreSilent,
                        ThirdRankFixture) {
  BOOST_REQUIRE_EQUAL(count<LongPollReader>(answer(ResultCode::Ok, 7)), 1);
  BOOST_TEST((timeToRead() <= ReadStartLimit));
}

// The connection to the first reader is lost shortly before its long poll would
// have timed out.
BOOST_FIXTURE_TEST_CASE(ReadsTheSourceInTimeWhenOneReaderIsLostAndOneIsSilent,
                        ThirdRankFixture) {
  answer(ResultCode::Ok, 7);
  BOOST_TEST((timeToRead([this](Millis Elapsed) {
                return Elapsed == Millis(900)
                           ? Follower.handlePeerLost("first:1", Now)
                           : FollowActions();
              }) <= ReadStartLimit));
}

// The members change while the readers are silent, so that other nodes rank
// first in turn.
BOOST_FIXTURE_TEST_CASE(ReadsTheSourceInTimeWhenSilentReadersAreReplaced,
                        ThirdRankFixture) {
  answer(ResultCode::Ok, 7);
  BOOST_TEST((timeToRead([this](Millis Elapsed) {
                if (Elapsed == Millis(800))
                  Follower.setPeers({Peers[1]});
                return FollowActions();
              }) <= ReadStartLimit));
}

// The first reader loses the source without an error and says so as soon as it
// detects that. The second one is silent.
BOOST_FIXTURE_TEST_CASE(ReadsTheSourceInTimeWhenOneReaderIsDisconnected,
                        ThirdRankFixture) {
  answer(ResultCode::Ok, 7);
  BOOST_TEST((timeToRead([this](Millis Elapsed) {
                return Elapsed == Millis(1'150)
                           ? Follower.handlePeerAnswer(Ranked[0], false, Now)
                           : FollowActions();
              }) <= ReadStartLimit));
}

// A second reader that answers is not passed over.
BOOST_FIXTURE_TEST_CASE(FollowsTheSecondReaderWhileTheFirstIsSilent,
                        ThirdRankFixture) {
  answer(ResultCode::Ok, 7);
  const auto Actions = runTicks(Millis(1'100));
  BOOST_REQUIRE_EQUAL(count<LongPollReader>(Actions), 1);
  BOOST_TEST(std::get<LongPollReader>(Actions[0]).Address == "second:1");
  for (int Round = 0; Round < 2; ++Round) {
    const auto Next = Follower.handlePeerAnswer(Ranked[1], true, Now);
    BOOST_REQUIRE_EQUAL(count<LongPollReader>(Next), 1);
    BOOST_TEST(std::get<LongPollReader>(Next[0]).Address == "second:1");
    BOOST_TEST(runTicks(Millis(800)).empty());
  }
}

BOOST_FIXTURE_TEST_CASE(TakesOverWhenItIsPolledInPlaceOfTheReader,
                        ReaderFixture) {
  pollReader();
  const auto Actions = Follower.handleLongPoll(Now);
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST((std::get<ReadFrom>(Actions[0]).Wait == Millis(0)));
  BOOST_TEST(Follower.isTakingOver());
  BOOST_TEST(!Follower.isConnectedToSource(Now));
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 8)) == 1);
  BOOST_TEST(!Follower.isTakingOver());
  BOOST_TEST(Follower.isConnectedToSource(Now));
  // It keeps reading the source as long as it is polled.
  Now += Millis(1500);
  BOOST_TEST(Follower.handleLongPoll(Now).empty());
  Now += Millis(1500);
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 8)) == 1);
  Now += Millis(1000);
  BOOST_TEST(count<LongPollReader>(answer(ResultCode::Ok, 8)) == 1);
}

namespace {

// How long a reader may take to detect that it is disconnected without an
// error. A change has to be in force within two seconds; the rest of that time
// is for the reads of the nodes that long-poll the reader.
constexpr Millis DetectionLimit{1'200};

} // namespace

BOOST_FIXTURE_TEST_CASE(DetectsASilentDisconnectDuringTheBatchDelay,
                        ReaderFixture) {
  Peers.erase(Peers.begin());
  Follower.setPeers(Peers);
  answer(ResultCode::Ok, 7);
  BOOST_TEST(Follower.isConnectedToSource(Now));
  // The next change follows directly, and the source disconnects with it.
  Follower.adoptVersion(4);
  BOOST_TEST(Follower.handleSourceAnswer({ResultCode::Ok, "a set", 8, ""}, Now)
                 .empty());
  const auto Actions = runTicks(DetectionLimit);
  BOOST_TEST(count<CancelRead>(Actions) == 1);
  BOOST_TEST(Follower.isReadFailing());
  BOOST_TEST(!Follower.isConnectedToSource(Now));
}

BOOST_FIXTURE_TEST_CASE(DetectsASilentDisconnectDuringARead, ReaderFixture) {
  Peers.erase(Peers.begin());
  Follower.setPeers(Peers);
  BOOST_TEST(count<ReadFrom>(answer(ResultCode::Ok, 7)) == 1);
  runTicks(DetectionLimit);
  BOOST_TEST(Follower.isReadFailing());
}

// Load pattern: a series of sets of 0.2 MB on links of 7 Mbit/s.
BOOST_FIXTURE_TEST_CASE(AReadWithProgressDoesNotTimeOut, ReaderFixture) {
  Peers.erase(Peers.begin());
  Follower.setPeers(Peers);
  answer(ResultCode::Ok, 7);
  for (int Part = 0; Part < 20; ++Part) {
    BOOST_TEST(runTicks(Millis(200)).empty());
    Follower.handleReadProgress(Now);
  }
  BOOST_TEST(Follower.isConnectedToSource(Now));
  BOOST_TEST(count<CancelRead>(runTicks(Millis(700))) == 1);
}

BOOST_FIXTURE_TEST_CASE(ASlowSourceCanStillBeRead, ReaderFixture) {
  constexpr Millis Delay{900};
  const Millis Wait =
      std::chrono::duration_cast<Millis>(FollowOptions().SourceWait);
  Peers.erase(Peers.begin());
  Follower.setPeers(Peers);
  answer(ResultCode::Ok, 7);
  // Every answer arrives late unless its read has timed out before.
  int TimedOut = 0;
  int Answered = 0;
  for (Millis Elapsed{0}; Elapsed < Millis(20'000); Elapsed += Wait + Delay) {
    if (count<CancelRead>(runTicks(Wait + Delay)) > 0) {
      ++TimedOut;
      continue;
    }
    answer(ResultCode::Ok, 7);
    ++Answered;
  }
  BOOST_TEST(TimedOut <= 3);
  BOOST_TEST(Answered >= 5);
  BOOST_TEST(Follower.isConnectedToSource(Now));
}

BOOST_FIXTURE_TEST_CASE(AReaderThatCancelledItsReadIsNotConnected,
                        ReaderFixture) {
  Peers.erase(Peers.begin());
  Follower.setPeers(Peers);
  answer(ResultCode::Ok, 7);
  Peers[0].Held = 9;
  BOOST_TEST(count<CancelRead>(runTicks(Millis(400))) == 1);
  BOOST_TEST(!Follower.isConnectedToSource(Now));
  answer(ResultCode::Ok, 8);
  BOOST_TEST(Follower.isConnectedToSource(Now));
}

// Load pattern: fifty of 82 nodes are killed at once. Each of them needs the
// whole set when it restarts, which is 0.2 MB or more from the source, on links
// of 7 Mbit/s that also carry the calls.
BOOST_FIXTURE_TEST_CASE(ANewNodeRequestsFromAPeerWithASetFirst,
                        FollowerFixture) {
  Peers[1].Held = 4;
  BOOST_TEST(Follower.start(Now).empty());
  const auto Actions = runTicks(Millis(400));
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST(std::get<RequestFromPeer>(Actions[0]).Address == "b:1");
  // Without an answer from the peer it reads the source.
  BOOST_TEST(count<ReadNewestSet>(runTicks(Millis(300))) == 1);
}

BOOST_FIXTURE_TEST_CASE(NewNodesReadTheSourceImmediately, FollowerFixture) {
  Follower.start(Now);
  BOOST_TEST(count<RequestFromPeer>(runTicks(Millis(100))) == 1);
  BOOST_TEST(count<ReadNewestSet>(Follower.handlePeerAnswer("a", false, Now)) ==
             1);
  BOOST_TEST(Follower.handlePeerAnswer("b", false, Now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
