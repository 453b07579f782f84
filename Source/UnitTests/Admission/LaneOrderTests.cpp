#include <boost/test/unit_test.hpp>

#include "Admission/LaneOrder.h"
#include "Admission/PauseDetector.h"
#include "Admission/SlotQueue.h"

BOOST_AUTO_TEST_SUITE(LaneOrders)

namespace {

using Common::Millis;
using Common::ResultCode;
using namespace Admission;

const Common::SteadyTime Start{Millis(100'000)};

// A queue with six slots. Calls get consecutive ids.
struct Fixture {
  SlotQueue<LaneOrder> Queue;
  QueuedCallId LastId = 0;
  Common::SteadyTime Now = Start;

  Fixture() { Queue.setSlots(6, Now); }

  AdmissionActions offer(const std::string &Kind, bool IsLong = false,
                         Millis Timeout = Millis(500),
                         const std::string &Caller = "a") {
    return Queue.offer({++LastId, IsLong, Now + Timeout, Caller, Kind, Now},
                       Now);
  }
  // Runs calls one after the other, so that the service time of their kind
  // becomes known.
  void addSamples(const std::string &Kind, Millis ServiceTime, int Count = 10) {
    for (int Sample = 0; Sample < Count; ++Sample) {
      offer(Kind, false, 10 * ServiceTime);
      Now += ServiceTime;
      Queue.onFinished(LastId, Now);
    }
  }
};

std::vector<QueuedCallId> startedCalls(const AdmissionActions &Actions) {
  std::vector<QueuedCallId> Ids;
  for (const AdmissionAction &Action : Actions)
    if (const auto *Run = std::get_if<RunCall>(&Action))
      Ids.push_back(Run->Id);
  return Ids;
}

std::optional<ResultCode> refusalCode(const AdmissionActions &Actions,
                                      QueuedCallId Id) {
  for (const AdmissionAction &Action : Actions)
    if (const auto *Refuse = std::get_if<RefuseCall>(&Action))
      if (Refuse->Id == Id)
        return Refuse->Code;
  return std::nullopt;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(LongCallsDoNotUseReservedSlots, Fixture) {
  for (int Index = 0; Index < 6; ++Index)
    offer("report", true);
  BOOST_TEST(Queue.load().BusySlots == 4);
  BOOST_TEST(startedCalls(offer("price")).size() == 1);
  BOOST_TEST(startedCalls(offer("price")).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(ShortCallsUseAllSlotsButLeaveOneToALongCall, Fixture) {
  for (int Index = 0; Index < 6; ++Index)
    offer("price");
  BOOST_TEST(Queue.load().BusySlots == 6);
  offer("price");
  offer("report", true);
  BOOST_TEST(
      (startedCalls(Queue.onFinished(1, Now)) == std::vector<QueuedCallId>{8}));
  offer("report", true);
  BOOST_TEST(
      (startedCalls(Queue.onFinished(2, Now)) == std::vector<QueuedCallId>{7}));
}

BOOST_FIXTURE_TEST_CASE(MislabelledLongCallsDoNotUseReservedSlots, Fixture) {
  addSamples("price", Millis(5), 30);
  addSamples("mislabelled", Millis(500), 5);
  for (int Index = 0; Index < 6; ++Index)
    offer("mislabelled", false, Millis(5000));
  BOOST_TEST(Queue.load().BusySlots < 6);
  BOOST_TEST(startedCalls(offer("price")).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(LimitsAnUnknownKindThatRunsLong, Fixture) {
  addSamples("price", Millis(5), 30);
  for (int Index = 0; Index < 5; ++Index)
    offer("mislabelled", false, Millis(5000));
  Now += Millis(100);
  BOOST_TEST(startedCalls(offer("mislabelled", false, Millis(5000))).empty());
  BOOST_TEST(startedCalls(offer("price")).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(RefusesCallsThatCannotMeetTheirDeadline, Fixture) {
  addSamples("price", Millis(50));
  for (int Index = 0; Index < 6; ++Index)
    offer("price");
  const AdmissionActions Actions = offer("price", false, Millis(40));
  BOOST_TEST((refusalCode(Actions, LastId) == ResultCode::DeadlineTooClose));
  BOOST_TEST(!refusalCode(offer("price", false, Millis(200)), LastId));
}

BOOST_FIXTURE_TEST_CASE(RunsACallThatNeedNotWaitDespiteItsDeadline, Fixture) {
  addSamples("price", Millis(50));
  BOOST_TEST(startedCalls(offer("price", false, Millis(40))).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(ServesTheNewestCallFirstUnderOverload, Fixture) {
  for (int Index = 0; Index < 8; ++Index)
    offer("price"); // Calls 7 and 8 wait.
  Now += Millis(50);
  BOOST_TEST(
      (startedCalls(Queue.onFinished(1, Now)) == std::vector<QueuedCallId>{7}));
  offer("price");
  Now += Millis(60);
  BOOST_TEST(
      (startedCalls(Queue.onFinished(2, Now)) == std::vector<QueuedCallId>{9}));
  Now += Millis(200);
  const AdmissionActions Actions = Queue.expire(Now);
  BOOST_TEST((refusalCode(Actions, 8) == ResultCode::QueueFull));
}

BOOST_FIXTURE_TEST_CASE(ServesCallersRoundRobin, Fixture) {
  for (int Index = 0; Index < 12; ++Index)
    offer("price", false, Millis(500), "heavy");
  offer("price", false, Millis(500), "light"); // Call 13.
  Queue.onFinished(1, Now);
  BOOST_TEST((startedCalls(Queue.onFinished(2, Now)) ==
              std::vector<QueuedCallId>{13}));
}

BOOST_FIXTURE_TEST_CASE(AFullQueueRefusesTheOldestCallOfTheBusiestCaller,
                        Fixture) {
  for (int Index = 0; Index < 6 + 96; ++Index)
    offer("price", false, Millis(500), "heavy");
  const AdmissionActions Actions = offer("price", false, Millis(500), "light");
  BOOST_TEST((refusalCode(Actions, 7) == ResultCode::QueueFull));
  BOOST_TEST(!refusalCode(Actions, LastId));
}

BOOST_FIXTURE_TEST_CASE(RefusesWaitingCallsWhenTheServerLeaves, Fixture) {
  for (int Index = 0; Index < 7; ++Index)
    offer("price");
  BOOST_TEST(
      (refusalCode(Queue.setSlots(0, Now), 7) == ResultCode::NoLiveServer));
}

BOOST_FIXTURE_TEST_CASE(ShedCallsReduceTheSlotsDespiteAnnouncements, Fixture) {
  for (int Index = 0; Index < 6; ++Index)
    offer("price");
  for (QueuedCallId Id = 1; Id <= 6; ++Id)
    Queue.onFinished(Id, Now, CallOutcome::NotRun);
  Queue.setSlots(6, Now);
  BOOST_TEST(startedCalls(offer("price")).size() == 1);
  BOOST_TEST(startedCalls(offer("price")).empty());
  BOOST_TEST(Queue.load().BusySlots == 6);
  Now += Millis(5);
  BOOST_TEST(startedCalls(Queue.onFinished(7, Now)).size() == 1);
  addSamples("price", Millis(5), 30);
  Queue.onFinished(8, Now);
  BOOST_TEST(Queue.load().BusySlots == 0);
}

BOOST_AUTO_TEST_CASE(ReportsAPauseBeforeAndShortlyAfterTheNextTick) {
  PauseDetector Detector;
  Detector.tick(Start);
  BOOST_TEST(Detector.pause(Start + Millis(60)).count() == 0);
  const Common::SteadyTime Resumed = Start + Millis(3000);
  BOOST_TEST((Detector.pause(Resumed) == Millis(3000)));
  Detector.tick(Resumed);
  BOOST_TEST((Detector.pause(Resumed + Millis(10)) == Millis(3000)));
  BOOST_TEST(Detector.pause(Resumed + Millis(30)).count() == 0);
  Detector.tick(Resumed + Millis(50));
  BOOST_TEST(Detector.pause(Resumed + Millis(60)).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
