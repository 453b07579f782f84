#include <boost/test/unit_test.hpp>

#include "Admission/LaneOrder.h"
#include "Admission/PauseWatch.h"
#include "Admission/SlotQueue.h"

BOOST_AUTO_TEST_SUITE(LaneOrders)

namespace {

using Common::Millis;
using Common::ResultCode;
using namespace Admission;

const Common::SteadyTime Start{Millis(100'000)};

// A queue with ids given in turn.
struct Fixture {
  SlotQueue<LaneOrder> Queue;
  TicketId Last = 0;
  Common::SteadyTime Now = Start;

  Fixture() { Queue.setSlots(6, Now); }

  AdmissionActions offer(const std::string &Kind, bool Long = false,
                         Millis Limit = Millis(500),
                         const std::string &Caller = "a") {
    return Queue.offer({++Last, Long, Now + Limit, Caller, Kind, Now}, Now);
  }
  // Runs calls one by one, so that their kind becomes known.
  void teach(const std::string &Kind, Millis Took, int Count = 10) {
    for (int Each = 0; Each < Count; ++Each) {
      offer(Kind, false, 10 * Took);
      Now += Took;
      Queue.finished(Last, Now);
    }
  }
};

std::vector<TicketId> runs(const AdmissionActions &Actions) {
  std::vector<TicketId> Ids;
  for (const AdmissionAction &Each : Actions)
    if (const auto *Run = std::get_if<RunCall>(&Each))
      Ids.push_back(Run->Id);
  return Ids;
}

std::optional<ResultCode> refusal(const AdmissionActions &Actions,
                                  TicketId Id) {
  for (const AdmissionAction &Each : Actions)
    if (const auto *Refuse = std::get_if<RefuseCall>(&Each))
      if (Refuse->Id == Id)
        return Refuse->Code;
  return std::nullopt;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(LongCallsLeaveTheReserve, Fixture) {
  for (int Each = 0; Each < 6; ++Each)
    offer("report", true);
  BOOST_TEST(Queue.load().BusySlots == 4);
  BOOST_TEST(runs(offer("price")).size() == 1);
  BOOST_TEST(runs(offer("price")).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(ShortCallsUseAllSlotsAndLeaveOneToALongOne, Fixture) {
  for (int Each = 0; Each < 6; ++Each)
    offer("price");
  BOOST_TEST(Queue.load().BusySlots == 6);
  offer("price");
  offer("report", true);
  BOOST_TEST((runs(Queue.finished(1, Now)) == std::vector<TicketId>{8}));
  offer("report", true);
  BOOST_TEST((runs(Queue.finished(2, Now)) == std::vector<TicketId>{7}));
}

BOOST_FIXTURE_TEST_CASE(AKindThatLiesAboutItsLengthLeavesTheReserve, Fixture) {
  teach("price", Millis(5), 30);
  teach("liar", Millis(500), 5);
  for (int Each = 0; Each < 6; ++Each)
    offer("liar", false, Millis(5000));
  BOOST_TEST(Queue.load().BusySlots < 6);
  BOOST_TEST(runs(offer("price")).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(AnUnknownKindThatRunsLongIsHeldBack, Fixture) {
  teach("price", Millis(5), 30);
  for (int Each = 0; Each < 5; ++Each)
    offer("liar", false, Millis(5000));
  Now += Millis(100);
  BOOST_TEST(runs(offer("liar", false, Millis(5000))).empty());
  BOOST_TEST(runs(offer("price")).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(RefusesEarlyWhatCannotEndInTime, Fixture) {
  teach("price", Millis(50));
  for (int Each = 0; Each < 6; ++Each)
    offer("price");
  const AdmissionActions Actions = offer("price", false, Millis(40));
  BOOST_TEST((refusal(Actions, Last) == ResultCode::DeadlineTooClose));
  BOOST_TEST(!refusal(offer("price", false, Millis(200)), Last));
}

BOOST_FIXTURE_TEST_CASE(TriesACallThatNeedNotWait, Fixture) {
  teach("price", Millis(50));
  BOOST_TEST(runs(offer("price", false, Millis(40))).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(ServesTheNewestFirstInOverload, Fixture) {
  for (int Each = 0; Each < 8; ++Each)
    offer("price"); // 7 and 8 wait.
  Now += Millis(50);
  BOOST_TEST((runs(Queue.finished(1, Now)) == std::vector<TicketId>{7}));
  offer("price");
  Now += Millis(60);
  BOOST_TEST((runs(Queue.finished(2, Now)) == std::vector<TicketId>{9}));
  Now += Millis(200);
  const AdmissionActions Late = Queue.expire(Now);
  BOOST_TEST((refusal(Late, 8) == ResultCode::QueueFull));
}

BOOST_FIXTURE_TEST_CASE(CallersTakeTurns, Fixture) {
  for (int Each = 0; Each < 12; ++Each)
    offer("price", false, Millis(500), "greedy");
  offer("price", false, Millis(500), "modest"); // 13
  Queue.finished(1, Now);
  BOOST_TEST((runs(Queue.finished(2, Now)) == std::vector<TicketId>{13}));
}

BOOST_FIXTURE_TEST_CASE(AFullQueueRefusesTheLongestCallersOldest, Fixture) {
  for (int Each = 0; Each < 6 + 96; ++Each)
    offer("price", false, Millis(500), "greedy");
  const AdmissionActions Actions = offer("price", false, Millis(500), "modest");
  BOOST_TEST((refusal(Actions, 7) == ResultCode::QueueFull));
  BOOST_TEST(!refusal(Actions, Last));
}

BOOST_FIXTURE_TEST_CASE(WhatWaitsIsRefusedWhenTheServerLeaves, Fixture) {
  for (int Each = 0; Each < 7; ++Each)
    offer("price");
  BOOST_TEST((refusal(Queue.setSlots(0, Now), 7) == ResultCode::NoLiveServer));
}

BOOST_FIXTURE_TEST_CASE(CallsOutweighTheAnnouncedSlots, Fixture) {
  for (int Each = 0; Each < 6; ++Each)
    offer("price");
  for (TicketId Id = 1; Id <= 6; ++Id)
    Queue.finished(Id, Now, Ending::NotRun);
  Queue.setSlots(6, Now);
  BOOST_TEST(runs(offer("price")).size() == 1);
  BOOST_TEST(runs(offer("price")).empty());
  BOOST_TEST(Queue.load().BusySlots == 6);
  Now += Millis(5);
  BOOST_TEST(runs(Queue.finished(7, Now)).size() == 1);
  teach("price", Millis(5), 30);
  Queue.finished(8, Now);
  BOOST_TEST(Queue.load().BusySlots == 0);
}

BOOST_AUTO_TEST_CASE(APauseIsSeenByTheFirstRequestAndAfterTheTick) {
  PauseWatch Watch;
  Watch.tick(Start);
  BOOST_TEST(Watch.pause(Start + Millis(60)).count() == 0);
  const Common::SteadyTime Woken = Start + Millis(3000);
  BOOST_TEST((Watch.pause(Woken) == Millis(3000)));
  Watch.tick(Woken);
  BOOST_TEST((Watch.pause(Woken + Millis(10)) == Millis(3000)));
  BOOST_TEST(Watch.pause(Woken + Millis(30)).count() == 0);
  Watch.tick(Woken + Millis(50));
  BOOST_TEST(Watch.pause(Woken + Millis(60)).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
