#include <random>

#include <boost/test/unit_test.hpp>

#include "Admission/FifoOrder.h"
#include "Admission/SlotQueue.h"
#include "Admission/ValueOrder.h"

BOOST_AUTO_TEST_SUITE(ValueOrders)

namespace {

using namespace Admission;
using Common::Millis;
using Common::ResultCode;

constexpr int Slots = 2;

struct Fixture {
  SlotQueue<ValueOrder> Queue;
  Common::SteadyTime Now{Millis(10'000)};
  QueuedCallId LastId = 0;
  std::vector<QueuedCallId> Started;
  std::vector<RefuseCall> Refused;

  Fixture() { Queue.setSlots(Slots, Now); }

  void record(const AdmissionActions &Actions) {
    for (const AdmissionAction &Action : Actions)
      if (const auto *Run = std::get_if<RunCall>(&Action))
        Started.push_back(Run->Id);
      else
        Refused.push_back(std::get<RefuseCall>(Action));
  }
  QueuedCallId offer(int Priority, Millis TargetLatency, Millis Timeout,
                     std::optional<Common::Micros> WaitLimit = {}) {
    QueuedCall Call;
    Call.Id = ++LastId;
    Call.Kind = "k" + std::to_string(Priority);
    Call.Priority = Priority;
    Call.TargetTime = Now + TargetLatency;
    Call.Deadline = Now + Timeout;
    Call.WaitLimit = WaitLimit;
    record(Queue.offer(Call, Now));
    return Call.Id;
  }
  void finish(QueuedCallId Id) { record(Queue.onFinished(Id, Now)); }
  // Runs calls of the kind one after the other, so that the queue measures
  // their service time.
  void addSamples(int Priority, Millis ServiceTime) {
    for (int Sample = 0; Sample < 12; ++Sample) {
      const QueuedCallId Id = offer(Priority, Millis(5000), Millis(5000));
      Now += ServiceTime;
      finish(Id);
    }
    Started.clear();
  }
  // Starts a call in each slot.
  void fillSlots() {
    for (int Index = 0; Index < Slots; ++Index)
      offer(0, Millis(5000), Millis(5000));
    Started.clear();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RunsTheHigherPriorityFirst, Fixture) {
  fillSlots();
  offer(2, Millis(500), Millis(1000));
  const QueuedCallId HighPriority = offer(0, Millis(500), Millis(1000));
  finish(1);
  BOOST_TEST(Started == std::vector<QueuedCallId>{HighPriority});
}

BOOST_FIXTURE_TEST_CASE(PrefersCallsThatCanStillMeetTheirTarget, Fixture) {
  addSamples(1, Millis(100));
  fillSlots();
  const QueuedCallId Late = offer(1, Millis(150), Millis(3000));
  Now += Millis(100);
  const QueuedCallId InTime = offer(1, Millis(300), Millis(3000));
  finish(13);
  finish(14);
  BOOST_TEST(Started == (std::vector<QueuedCallId>{InTime, Late}));
}

BOOST_FIXTURE_TEST_CASE(RefusesCallsThatExceedTheirWaitLimit, Fixture) {
  addSamples(1, Millis(100));
  fillSlots();
  offer(1, Millis(300), Millis(1000), Millis(20));
  BOOST_REQUIRE_EQUAL(Refused.size(), 1U);
  BOOST_TEST((Refused[0].Code == ResultCode::WouldWait));
}

BOOST_FIXTURE_TEST_CASE(RefusesCallsThatCannotMeetTheirDeadline, Fixture) {
  addSamples(1, Millis(100));
  fillSlots();
  offer(1, Millis(80), Millis(80));
  BOOST_REQUIRE_EQUAL(Refused.size(), 1U);
  BOOST_TEST((Refused[0].Code == ResultCode::DeadlineTooClose));
}

BOOST_FIXTURE_TEST_CASE(RefusalsContainTheWaitEstimate, Fixture) {
  addSamples(1, Millis(100));
  fillSlots();
  offer(1, Millis(300), Millis(1000));
  offer(1, Millis(310), Millis(1000), Millis(20));
  BOOST_REQUIRE_EQUAL(Refused.size(), 1U);
  BOOST_REQUIRE(Refused[0].Estimate);
  BOOST_TEST((Refused[0].Estimate->Wait == Millis(100)));
  BOOST_TEST(Refused[0].Estimate->Ahead == 1);
  BOOST_TEST(Refused[0].Estimate->Slots == Slots);
  BOOST_TEST((Refused[0].Estimate->ExpectedServiceTime == Millis(100)));
}

BOOST_FIXTURE_TEST_CASE(ReportsTheMeanSlotTime, Fixture) {
  addSamples(1, Millis(100));
  BOOST_TEST((Queue.load().SlotTime == Millis(100)));
}

namespace {

// The numbers of calls that met their latency target and their deadline in a
// burst of several seconds with a demand of 1.6 times the capacity.
struct Outcome {
  int InTime = 0;
  int Served = 0;
};

template <class Order> Outcome replayBurst(std::uint64_t Seed) {
  constexpr Millis ServiceTime{100};
  constexpr Millis TargetLatency{300};
  constexpr Millis Deadline{800};
  constexpr double Demand = 1.6;
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Gap(
      Demand * Slots / static_cast<double>(ServiceTime.count()));
  SlotQueue<Order> Queue;
  Common::SteadyTime Now{Millis(10'000)};
  Queue.setSlots(Slots, Now);
  std::multimap<Common::SteadyTime, QueuedCallId> Ends;
  std::map<QueuedCallId, Common::SteadyTime> Arrivals;
  Outcome Result;
  const auto StartCalls = [&](const AdmissionActions &Actions) {
    for (const AdmissionAction &Action : Actions)
      if (const auto *Run = std::get_if<RunCall>(&Action))
        Ends.emplace(Now + ServiceTime, Run->Id);
  };
  Common::SteadyTime NextArrival = Now;
  for (QueuedCallId Id = 1; Id <= 400 || !Ends.empty();) {
    if (!Ends.empty() && (Id > 400 || Ends.begin()->first <= NextArrival)) {
      const auto Finished = Ends.extract(Ends.begin());
      Now = Finished.key();
      const Common::Duration Latency = Now - Arrivals.at(Finished.mapped());
      Result.InTime += Latency <= TargetLatency ? 1 : 0;
      Result.Served += Latency <= Deadline ? 1 : 0;
      StartCalls(Queue.onFinished(Finished.mapped(), Now));
      continue;
    }
    Now = NextArrival;
    Arrivals[Id] = Now;
    QueuedCall Call;
    Call.Id = Id++;
    Call.Kind = "k";
    Call.TargetTime = Now + TargetLatency;
    Call.Deadline = Now + Deadline;
    StartCalls(Queue.offer(Call, Now));
    NextArrival +=
        Common::Micros(static_cast<std::int64_t>(Gap(Random) * 1000));
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(ServesMoreCallsInTimeThanFifoInABurst) {
  Outcome ValueTotal;
  Outcome FifoTotal;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    const Outcome ValueResult = replayBurst<ValueOrder>(Seed);
    const Outcome FifoResult = replayBurst<FifoOrder>(Seed);
    ValueTotal.InTime += ValueResult.InTime;
    ValueTotal.Served += ValueResult.Served;
    FifoTotal.InTime += FifoResult.InTime;
    FifoTotal.Served += FifoResult.Served;
  }
  BOOST_TEST_MESSAGE("in time " << ValueTotal.InTime << " against "
                                << FifoTotal.InTime << ", served "
                                << ValueTotal.Served << " against "
                                << FifoTotal.Served);
  BOOST_TEST(ValueTotal.InTime > 2 * FifoTotal.InTime);
  BOOST_TEST(ValueTotal.Served >= FifoTotal.Served * 95 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
