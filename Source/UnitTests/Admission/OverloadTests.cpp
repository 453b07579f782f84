#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "Admission/FifoOrder.h"
#include "Admission/LaneOrder.h"
#include "Admission/SlotQueue.h"

BOOST_AUTO_TEST_SUITE(Overloads)

namespace {

using Common::Micros;
using Common::Millis;
using namespace Admission;

const Common::SteadyTime Start{Millis(100'000)};
constexpr int Slots = 6;
constexpr double CapacityPerSecond = Slots / 0.005;

// Calls of one kind with random arrivals. The mean rate per second is
// multiplied by a factor during a surge.
struct Stream {
  std::string Kind;
  bool IsLong = false;
  Micros MeanServiceTime{5000};
  Micros Timeout{500'000};
  double Rate = 0;
  double SurgeFactor = 1;
  Millis SurgeStart{0};
  Millis SurgeEnd{0};
};

struct ServedCall {
  std::string Kind;
  Common::Duration EndedAt{0};
  Common::Duration Latency{0};
};

// Simulates a queue under several streams in virtual time.
template <WaitingOrder Order> class Simulation {
public:
  explicit Simulation(std::uint64_t Seed) : Random(Seed) {
    Queue.setSlots(Slots, Start);
  }

  std::vector<ServedCall> run(const std::vector<Stream> &Streams,
                              Millis Length) {
    End = Start + Length;
    for (const Stream &Source : Streams)
      scheduleArrival(Source, Start);
    scheduleExpiry(Start);
    while (!Events.empty()) {
      const auto Next = Events.extract(Events.begin());
      Next.mapped()(Next.key());
    }
    return std::move(Result);
  }

private:
  struct Call {
    std::string Kind;
    Common::SteadyTime Arrived;
    Common::SteadyTime Deadline;
    Micros ServiceTime{0};
  };
  using Time = Common::SteadyTime;

  void scheduleArrival(const Stream &Source, Time Now) {
    const bool InSurge =
        Now >= Start + Source.SurgeStart && Now < Start + Source.SurgeEnd;
    std::exponential_distribution<double> Gap(
        Source.Rate * (InSurge ? Source.SurgeFactor : 1));
    const Time At = Now + std::chrono::duration_cast<Common::Duration>(
                              std::chrono::duration<double>(Gap(Random)));
    if (At < End)
      Events.emplace(At, [this, Source](Time Due) { onArrival(Source, Due); });
  }

  void onArrival(const Stream &Source, Time Now) {
    scheduleArrival(Source, Now);
    std::uniform_real_distribution<double> TimeFactor(0.5, 1.5);
    const Micros ServiceTime(static_cast<std::int64_t>(
        static_cast<double>(Source.MeanServiceTime.count()) *
        TimeFactor(Random)));
    const QueuedCallId Id = ++LastId;
    Calls[Id] = {Source.Kind, Now, Now + Source.Timeout, ServiceTime};
    startCalls(Queue.offer({Id, Source.IsLong, Now + Source.Timeout, "a",
                            Source.Kind, Now},
                           Now),
               Now);
  }

  void startCalls(const AdmissionActions &Actions, Time Now) {
    for (const AdmissionAction &Action : Actions)
      if (const auto *Run = std::get_if<RunCall>(&Action))
        Events.emplace(
            std::min(Now + Calls[Run->Id].ServiceTime, Calls[Run->Id].Deadline),
            [this, Id = Run->Id, Now](Time At) { finish(Id, Now, At); });
  }

  void finish(QueuedCallId Id, Time Started, Time Now) {
    const Call &Finished = Calls[Id];
    const bool Answered = Started + Finished.ServiceTime <= Finished.Deadline;
    if (Answered)
      Result.push_back({Finished.Kind, Now - Start, Now - Finished.Arrived});
    startCalls(Queue.onFinished(Id, Now,
                                Answered ? CallOutcome::Answered
                                         : CallOutcome::Aborted),
               Now);
  }

  void scheduleExpiry(Time Now) {
    if (Now < End)
      Events.emplace(Now + Millis(10), [this](Time At) {
        startCalls(Queue.expire(At), At);
        scheduleExpiry(At);
      });
  }

  std::mt19937_64 Random;
  SlotQueue<Order> Queue;
  std::multimap<Time, std::function<void(Time)>> Events;
  std::map<QueuedCallId, Call> Calls;
  QueuedCallId LastId = 0;
  Time End;
  std::vector<ServedCall> Result;
};

// The rate of served calls in a period, as a fraction of the capacity.
double goodput(const std::vector<ServedCall> &Calls, Millis From, Millis To) {
  const auto Count =
      std::count_if(Calls.begin(), Calls.end(), [&](const ServedCall &Call) {
        return Call.EndedAt >= From && Call.EndedAt < To;
      });
  return static_cast<double>(Count) / CapacityPerSecond /
         std::chrono::duration<double>(To - From).count();
}

double p99Millis(const std::vector<ServedCall> &Calls,
                 const std::string &Kind) {
  std::vector<double> Latencies;
  for (const ServedCall &Call : Calls)
    if (Call.Kind == Kind)
      Latencies.push_back(
          std::chrono::duration<double, std::milli>(Call.Latency).count());
  std::sort(Latencies.begin(), Latencies.end());
  return Latencies.at(Latencies.size() * 99 / 100);
}

// Runs a load of a third of the capacity, which is multiplied by eight from
// second 2 to 5.
template <class Order> std::vector<ServedCall> surge(std::uint64_t Seed) {
  Stream Prices{.Kind = "price",
                .Timeout = Millis(60),
                .Rate = CapacityPerSecond / 3,
                .SurgeFactor = 8,
                .SurgeStart = Millis(2000),
                .SurgeEnd = Millis(5000)};
  return Simulation<Order>(Seed).run({Prices}, Millis(9000));
}

// The p99 latency of short calls when long calls run at the same time, relative
// to the p99 latency without them.
template <class Order>
double latencyRatio(std::uint64_t Seed, bool DeclaredLong = true) {
  const Stream Prices{.Kind = "price", .Rate = CapacityPerSecond / 4};
  const Stream Reports{.Kind = "report",
                       .IsLong = DeclaredLong,
                       .MeanServiceTime = Millis(500),
                       .Timeout = Millis(20'000),
                       .Rate = 8};
  const auto Alone = Simulation<Order>(Seed).run({Prices}, Millis(20'000));
  const auto WithReports =
      Simulation<Order>(Seed).run({Prices, Reports}, Millis(20'000));
  return p99Millis(WithReports, "price") / p99Millis(Alone, "price");
}

} // namespace

BOOST_AUTO_TEST_CASE(KeepsGoodputInASurgeAndRecoversAfterIt) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    const auto Calls = surge<LaneOrder>(Seed);
    BOOST_TEST_MESSAGE("lanes " << goodput(Calls, Millis(2000), Millis(5000)));
    BOOST_TEST(goodput(Calls, Millis(2000), Millis(5000)) >= 0.9);
    const double Normal = goodput(Calls, Millis(500), Millis(2000));
    BOOST_TEST(goodput(Calls, Millis(7000), Millis(9000)) >= 0.9 * Normal);
    const double Fifo =
        goodput(surge<FifoOrder>(Seed), Millis(2000), Millis(5000));
    BOOST_TEST_MESSAGE("fifo " << Fifo);
    BOOST_TEST(Fifo < 0.9);
  }
}

BOOST_AUTO_TEST_CASE(LongCallsDoNotBlockShortOnes) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    const double Lanes = latencyRatio<LaneOrder>(Seed);
    const double Fifo = latencyRatio<FifoOrder>(Seed);
    BOOST_TEST_MESSAGE("lanes " << Lanes << " fifo " << Fifo);
    BOOST_TEST(Lanes <= 1.5);
    BOOST_TEST(Fifo > 1.5);
  }
}

BOOST_AUTO_TEST_CASE(MislabelledLongCallsDoNotBlockShortOnes) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    const double Lanes = latencyRatio<LaneOrder>(Seed, false);
    BOOST_TEST_MESSAGE("mislabelled kind " << Lanes);
    BOOST_TEST(Lanes <= 1.5);
  }
}

BOOST_AUTO_TEST_SUITE_END()
