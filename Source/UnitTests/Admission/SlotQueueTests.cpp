#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include <boost/mpl/list.hpp>

#include "Admission/FifoOrder.h"
#include "Admission/LaneOrder.h"
#include "Admission/SlotQueue.h"

BOOST_AUTO_TEST_SUITE(SlotQueues)

namespace {

using Common::Millis;
using namespace Admission;

const Common::SteadyTime Start{Millis(1000)};

QueuedCall queuedCall(QueuedCallId Id) {
  return {Id, false, Start + Millis(500), "caller", "kind", Start};
}

using Orders = boost::mpl::list<FifoOrder, LaneOrder>;

std::string text(const AdmissionActions &Actions) {
  std::string Result;
  for (const AdmissionAction &Action : Actions) {
    if (const auto *Run = std::get_if<RunCall>(&Action))
      Result += "run " + std::to_string(Run->Id) + ";";
    else if (const auto *Refuse = std::get_if<RefuseCall>(&Action))
      Result += "refuse " + std::to_string(Refuse->Id) + " " +
                std::to_string(Common::resultCodeNumber(Refuse->Code)) + ";";
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE_TEMPLATE(RunsNoMoreCallsThanSlots, Order, Orders) {
  SlotQueue<Order> Queue;
  Queue.setSlots(2, Start);
  BOOST_TEST(text(Queue.offer(queuedCall(1), Start)) == "run 1;");
  BOOST_TEST(text(Queue.offer(queuedCall(2), Start)) == "run 2;");
  BOOST_TEST(text(Queue.offer(queuedCall(3), Start)).empty());
  BOOST_TEST(text(Queue.onFinished(1, Start)) == "run 3;");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(RefusesNewCallsWhenClosedAndFinishesOthers, Order,
                              Orders) {
  SlotQueue<Order> Queue;
  Queue.setSlots(1, Start);
  Queue.offer(queuedCall(1), Start);
  Queue.offer(queuedCall(2), Start);
  Queue.close();
  BOOST_TEST(text(Queue.offer(queuedCall(3), Start)) == "refuse 3 104;");
  BOOST_TEST(text(Queue.onFinished(1, Start)) == "run 2;");
  Queue.onFinished(2, Start);
  BOOST_TEST(Queue.isIdle());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(NeverRunsACallPastItsDeadline, Order, Orders) {
  SlotQueue<Order> Queue;
  Queue.setSlots(1, Start);
  Queue.offer(queuedCall(1), Start);
  Queue.offer(queuedCall(2), Start);
  BOOST_TEST(text(Queue.onFinished(1, Start + Millis(600))) == "refuse 2 103;");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(WithdrawsOnlyWaitingCalls, Order, Orders) {
  SlotQueue<Order> Queue;
  Queue.setSlots(1, Start);
  Queue.offer(queuedCall(1), Start);
  Queue.offer(queuedCall(2), Start);
  BOOST_TEST(!Queue.withdraw(1));
  BOOST_TEST(Queue.withdraw(2));
  BOOST_TEST(text(Queue.onFinished(1, Start)).empty());
}

// Load pattern: a server sheds 40% of its calls at random, even with free
// slots, as on a day of the enlarged Ashcombe fleet. Each call is answered
// after ten steps or shed after one.
BOOST_AUTO_TEST_CASE(ServersThatShedAtRandomKeepTheirSlots) {
  constexpr int SlotCount = 6;
  constexpr int Steps = 2000;
  std::mt19937 Random(7);
  std::bernoulli_distribution ShedDistribution(0.4);
  SlotQueue<FifoOrder> Queue;
  Queue.setSlots(SlotCount, Start);
  std::multimap<int, std::pair<QueuedCallId, CallOutcome>> Ends;
  QueuedCallId LastId = 0;
  int Answered = 0;
  for (int Step = 0; Step < Steps; ++Step) {
    const Common::SteadyTime Now = Start + Step * Millis(10);
    const auto StartCalls = [&](const AdmissionActions &Actions) {
      for (const AdmissionAction &Action : Actions)
        if (const auto *Run = std::get_if<RunCall>(&Action)) {
          const bool IsShed = ShedDistribution(Random);
          Ends.emplace(Step + (IsShed ? 1 : 10),
                       std::pair(Run->Id, IsShed ? CallOutcome::NotRun
                                                 : CallOutcome::Answered));
        }
    };
    for (auto Due = Ends.begin(); Due != Ends.end() && Due->first <= Step;
         Due = Ends.erase(Due)) {
      Answered += Due->second.second == CallOutcome::Answered ? 1 : 0;
      StartCalls(Queue.onFinished(Due->second.first, Now, Due->second.second));
    }
    for (int Arrival = 0; Arrival < 2; ++Arrival) {
      QueuedCall NewCall = queuedCall(++LastId);
      NewCall.Deadline = Now + Millis(100);
      StartCalls(Queue.offer(NewCall, Now));
    }
  }
  // Six slots, each held for ten steps by an answered call. The bound allows
  // for 2.5 further steps of shed calls per answered call.
  BOOST_TEST(Answered > Steps * SlotCount / 10 * 8 / 10);
}

// The server announces six slots, but has only three.
BOOST_AUTO_TEST_CASE(ShedCallsRevealLostSlots) {
  SlotEstimate Slots;
  Slots.onAnnounced(6);
  for (int Index = 0; Index < 20; ++Index)
    Slots.onAnswered(6, Start);
  // The proof of a concurrency of six has expired.
  const Common::SteadyTime Later = Start + Millis(2'500);
  Slots.onAnswered(3, Later);
  Slots.onNotRun(4, Later);
  BOOST_TEST(Slots.usable() == 3);
  Slots.onNotRun(3, Later);
  BOOST_TEST(Slots.usable() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
