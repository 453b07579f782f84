#include <boost/test/unit_test.hpp>

#include "Admission/ServerSpeed.h"
#include "Admission/SlotQueue.h"
#include "Admission/ValueOrder.h"

BOOST_AUTO_TEST_SUITE(Backlogs)

namespace {

using namespace Admission;
using Common::Micros;
using Common::Millis;

constexpr int Slots = 2;

struct Fixture {
  SlotQueue<ValueOrder> Queue;
  Common::SteadyTime Now{Millis(10'000)};
  QueuedCallId LastId = 0;

  Fixture() { Queue.setSlots(Slots, Now); }

  QueuedCallId offer(Micros ExpectedCost) {
    QueuedCall Call;
    Call.Id = ++LastId;
    Call.Kind = "k";
    Call.Deadline = Now + Millis(10'000);
    Call.TargetTime = Call.Deadline;
    Call.ExpectedCost = ExpectedCost;
    Queue.offer(Call, Now);
    return Call.Id;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(IsUnknownWhileNoCallStatesItsCost) {
  Fixture Tested;
  Tested.offer(Micros(0));
  Tested.offer(Micros(0));
  Tested.offer(Micros(0));
  BOOST_TEST(Tested.Queue.backlog(Tested.Now).count() == 0);
}

// Load: two servers with as many calls each, but one of them has heavy ones.
BOOST_AUTO_TEST_CASE(CountsWorkAndNotCalls) {
  Fixture Heavy;
  Fixture Light;
  for (int Call = 0; Call < 3; ++Call) {
    Heavy.offer(Millis(400));
    Light.offer(Millis(40));
  }
  BOOST_TEST(Heavy.Queue.backlog(Heavy.Now).count() == 600'000);
  BOOST_TEST(Light.Queue.backlog(Light.Now).count() == 60'000);
}

BOOST_AUTO_TEST_CASE(ShrinksWhileCallsRun) {
  Fixture Tested;
  Tested.offer(Millis(100));
  Tested.Now += Millis(60);
  BOOST_TEST(Tested.Queue.backlog(Tested.Now).count() == 20'000);
}

// Load: few calls take many times as long as expected.
BOOST_AUTO_TEST_CASE(GrowsWhenACallOutlivesItsExpectedCost) {
  Fixture Tested;
  Tested.offer(Millis(100));
  Tested.Now += Millis(300);
  BOOST_TEST(Tested.Queue.backlog(Tested.Now).count() == 100'000);
  Tested.Now += Millis(9'600);
  // No call runs past its deadline.
  BOOST_TEST(Tested.Queue.backlog(Tested.Now).count() == 50'000);
}

BOOST_AUTO_TEST_CASE(LearnsTheSpeedOfItsServer) {
  Fixture Tested;
  for (int Call = 0; Call < 300; ++Call) {
    const QueuedCallId Id = Tested.offer(Millis(100));
    Tested.Now += Millis(160);
    Tested.Queue.onFinished(Id, Tested.Now);
  }
  BOOST_TEST(Tested.Queue.speed()->usual() > 1.5);
  BOOST_TEST(Tested.Queue.speed()->usual() < 1.65);
  Tested.offer(Millis(100));
  BOOST_TEST(Tested.Queue.backlog(Tested.Now).count() > 75'000);
}

BOOST_AUTO_TEST_CASE(FollowsWhatTheServerStatesForAMoment) {
  ServerSpeed Tested;
  const Common::SteadyTime Now{Millis(10'000)};
  Tested.onStated(250, Now);
  BOOST_TEST(Tested.current(Now) == 2.5);
  BOOST_TEST(Tested.current(Now + Millis(3'000)) < 1.01);
  BOOST_TEST(Tested.usual() == 1);
}

// Load: calls of one kind, some with ten times the cost of the others.
BOOST_AUTO_TEST_CASE(ExpectsMoreOfACallThatCostsMoreThanItsKind) {
  Fixture Tested;
  for (int Call = 0; Call < 40; ++Call) {
    const QueuedCallId Id = Tested.offer(Millis(100));
    Tested.Now += Millis(150);
    Tested.Queue.onFinished(Id, Tested.Now);
  }
  Tested.offer(Millis(1'000));
  BOOST_TEST(Tested.Queue.backlog(Tested.Now).count() == 750'000);
}

BOOST_AUTO_TEST_CASE(OneHeavyCallMovesTheSpeedLittle) {
  ServerSpeed Tested;
  Tested.onAnswered(Millis(100), Millis(700));
  BOOST_TEST(Tested.usual() < 1.1);
}

BOOST_AUTO_TEST_SUITE_END()
