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
  TicketId Last = 0;
  std::vector<TicketId> Running;
  std::vector<RefuseCall> Refused;

  Fixture() { Queue.setSlots(Slots, Now); }

  void note(const AdmissionActions &Actions) {
    for (const AdmissionAction &Each : Actions)
      if (const auto *Run = std::get_if<RunCall>(&Each))
        Running.push_back(Run->Id);
      else
        Refused.push_back(std::get<RefuseCall>(Each));
  }
  TicketId offer(int Priority, Millis Target, Millis Deadline,
                 std::optional<Common::Micros> WaitLimit = {}) {
    Ticket Call;
    Call.Id = ++Last;
    Call.Kind = "k" + std::to_string(Priority);
    Call.Priority = Priority;
    Call.Target = Now + Target;
    Call.Deadline = Now + Deadline;
    Call.WaitLimit = WaitLimit;
    note(Queue.offer(Call, Now));
    return Call.Id;
  }
  void finish(TicketId Id) { note(Queue.finished(Id, Now)); }
  // Teaches the queue that calls of a kind hold a slot for so long.
  void teach(int Priority, Millis Time) {
    for (int Count = 0; Count < 12; ++Count) {
      const TicketId Id = offer(Priority, Millis(5000), Millis(5000));
      Now += Time;
      finish(Id);
    }
    Running.clear();
  }
  void fill() {
    for (int Index = 0; Index < Slots; ++Index)
      offer(0, Millis(5000), Millis(5000));
    Running.clear();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RunsTheUrgentKindFirst, Fixture) {
  fill();
  offer(2, Millis(500), Millis(1000));
  const TicketId Urgent = offer(0, Millis(500), Millis(1000));
  finish(1);
  BOOST_TEST(Running == std::vector<TicketId>{Urgent});
}

BOOST_FIXTURE_TEST_CASE(PrefersWhatCanStillMeetItsTarget, Fixture) {
  teach(1, Millis(100));
  fill();
  const TicketId Late = offer(1, Millis(150), Millis(3000));
  Now += Millis(100);
  const TicketId InTime = offer(1, Millis(300), Millis(3000));
  finish(13);
  finish(14);
  BOOST_TEST(Running == (std::vector<TicketId>{InTime, Late}));
}

BOOST_FIXTURE_TEST_CASE(RefusesAtOnceWhatWouldWaitTooLong, Fixture) {
  teach(1, Millis(100));
  fill();
  offer(1, Millis(300), Millis(1000), Millis(20));
  BOOST_REQUIRE_EQUAL(Refused.size(), 1U);
  BOOST_TEST((Refused[0].Code == ResultCode::WouldWait));
}

BOOST_FIXTURE_TEST_CASE(RefusesAtOnceWhatCannotEndInTime, Fixture) {
  teach(1, Millis(100));
  fill();
  offer(1, Millis(80), Millis(80));
  BOOST_REQUIRE_EQUAL(Refused.size(), 1U);
  BOOST_TEST((Refused[0].Code == ResultCode::DeadlineTooClose));
}

BOOST_FIXTURE_TEST_CASE(TellsWhatARefusalWasReckonedFrom, Fixture) {
  teach(1, Millis(100));
  fill();
  offer(1, Millis(300), Millis(1000));
  offer(1, Millis(310), Millis(1000), Millis(20));
  BOOST_REQUIRE_EQUAL(Refused.size(), 1U);
  BOOST_REQUIRE(Refused[0].Reckoned);
  BOOST_TEST((Refused[0].Reckoned->Wait == Millis(100)));
  BOOST_TEST(Refused[0].Reckoned->Ahead == 1);
  BOOST_TEST(Refused[0].Reckoned->Slots == Slots);
  BOOST_TEST((Refused[0].Reckoned->UsualTime == Millis(100)));
}

BOOST_FIXTURE_TEST_CASE(TellsHowLongCallsHoldASlot, Fixture) {
  teach(1, Millis(100));
  BOOST_TEST((Queue.load().SlotTime == Millis(100)));
}

namespace {

// Demand of 1.6 times what the slots can do, for some seconds: how many calls
// end by their targets, and how many at all.
struct Outcome {
  int InTime = 0;
  int Served = 0;
};

template <class Order> Outcome replayBurst(std::uint64_t Seed) {
  constexpr Millis Service{100};
  constexpr Millis Target{300};
  constexpr Millis Deadline{800};
  constexpr double Demand = 1.6;
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Gap(
      Demand * Slots / static_cast<double>(Service.count()));
  SlotQueue<Order> Queue;
  Common::SteadyTime Now{Millis(10'000)};
  Queue.setSlots(Slots, Now);
  std::multimap<Common::SteadyTime, TicketId> Ends;
  std::map<TicketId, Common::SteadyTime> Came;
  Outcome Result;
  const auto Note = [&](const AdmissionActions &Actions) {
    for (const AdmissionAction &Each : Actions)
      if (const auto *Run = std::get_if<RunCall>(&Each))
        Ends.emplace(Now + Service, Run->Id);
  };
  Common::SteadyTime NextCall = Now;
  for (TicketId Id = 1; Id <= 400 || !Ends.empty();) {
    if (!Ends.empty() && (Id > 400 || Ends.begin()->first <= NextCall)) {
      const auto Ended = Ends.extract(Ends.begin());
      Now = Ended.key();
      const Common::Duration Took = Now - Came.at(Ended.mapped());
      Result.InTime += Took <= Target ? 1 : 0;
      Result.Served += Took <= Deadline ? 1 : 0;
      Note(Queue.finished(Ended.mapped(), Now));
      continue;
    }
    Now = NextCall;
    Came[Id] = Now;
    Ticket Call;
    Call.Id = Id++;
    Call.Kind = "k";
    Call.Target = Now + Target;
    Call.Deadline = Now + Deadline;
    Note(Queue.offer(Call, Now));
    NextCall += Common::Micros(static_cast<std::int64_t>(Gap(Random) * 1000));
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(ServesMoreInTimeThanTheOrderOfArrivalInABurst) {
  Outcome Ours;
  Outcome Arrival;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    const Outcome A = replayBurst<ValueOrder>(Seed);
    const Outcome B = replayBurst<FifoOrder>(Seed);
    Ours.InTime += A.InTime;
    Ours.Served += A.Served;
    Arrival.InTime += B.InTime;
    Arrival.Served += B.Served;
  }
  BOOST_TEST_MESSAGE("in time " << Ours.InTime << " against " << Arrival.InTime
                                << ", served " << Ours.Served << " against "
                                << Arrival.Served);
  BOOST_TEST(Ours.InTime > 2 * Arrival.InTime);
  BOOST_TEST(Ours.Served >= Arrival.Served * 95 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
