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

// Calls of one kind; they arrive at random with a mean rate that a swing
// multiplies.
struct Stream {
  std::string Kind;
  bool Long = false;
  Micros Work{5000};
  Micros Deadline{500'000};
  double Rate = 0;
  double SwingFactor = 1;
  Millis SwingStart{0};
  Millis SwingEnd{0};
};

struct Served {
  std::string Kind;
  Common::Duration EndedAt{0};
  Common::Duration Took{0};
};

// Runs streams through a queue in virtual time.
template <WaitingOrder Order> class Simulation {
public:
  explicit Simulation(std::uint64_t Seed) : Random(Seed) {
    Queue.setSlots(Slots, Start);
  }

  std::vector<Served> run(const std::vector<Stream> &Streams, Millis Length) {
    End = Start + Length;
    for (const Stream &Each : Streams)
      arriveLater(Each, Start);
    expireLater(Start);
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
    Micros Work{0};
  };
  using Time = Common::SteadyTime;

  void arriveLater(const Stream &Of, Time Now) {
    const bool Swings =
        Now >= Start + Of.SwingStart && Now < Start + Of.SwingEnd;
    std::exponential_distribution<double> Gap(Of.Rate *
                                              (Swings ? Of.SwingFactor : 1));
    const Time At = Now + std::chrono::duration_cast<Common::Duration>(
                              std::chrono::duration<double>(Gap(Random)));
    if (At < End)
      Events.emplace(At, [this, Of](Time Due) { arrive(Of, Due); });
  }

  void arrive(const Stream &Of, Time Now) {
    arriveLater(Of, Now);
    std::uniform_real_distribution<double> Spread(0.5, 1.5);
    const Micros Work(static_cast<std::int64_t>(
        static_cast<double>(Of.Work.count()) * Spread(Random)));
    const TicketId Id = ++LastId;
    Calls[Id] = {Of.Kind, Now, Now + Of.Deadline, Work};
    act(Queue.offer({Id, Of.Long, Now + Of.Deadline, "a", Of.Kind, Now}, Now),
        Now);
  }

  void act(const AdmissionActions &Actions, Time Now) {
    for (const AdmissionAction &Each : Actions)
      if (const auto *Run = std::get_if<RunCall>(&Each))
        Events.emplace(
            std::min(Now + Calls[Run->Id].Work, Calls[Run->Id].Deadline),
            [this, Id = Run->Id, Now](Time At) { end(Id, Now, At); });
  }

  void end(TicketId Id, Time Started, Time Now) {
    const Call &Ended = Calls[Id];
    const bool Answered = Started + Ended.Work <= Ended.Deadline;
    if (Answered)
      Result.push_back({Ended.Kind, Now - Start, Now - Ended.Arrived});
    act(Queue.finished(Id, Now, Answered ? Ending::Answered : Ending::CutOff),
        Now);
  }

  void expireLater(Time Now) {
    if (Now < End)
      Events.emplace(Now + Millis(10), [this](Time At) {
        act(Queue.expire(At), At);
        expireLater(At);
      });
  }

  std::mt19937_64 Random;
  SlotQueue<Order> Queue;
  std::multimap<Time, std::function<void(Time)>> Events;
  std::map<TicketId, Call> Calls;
  TicketId LastId = 0;
  Time End;
  std::vector<Served> Result;
};

// The share of capacity that was served within a span.
double goodput(const std::vector<Served> &Calls, Millis From, Millis To) {
  const auto Count =
      std::count_if(Calls.begin(), Calls.end(), [&](const Served &Each) {
        return Each.EndedAt >= From && Each.EndedAt < To;
      });
  return static_cast<double>(Count) / CapacityPerSecond /
         std::chrono::duration<double>(To - From).count();
}

double p99Millis(const std::vector<Served> &Calls, const std::string &Kind) {
  std::vector<double> Times;
  for (const Served &Each : Calls)
    if (Each.Kind == Kind)
      Times.push_back(
          std::chrono::duration<double, std::milli>(Each.Took).count());
  std::sort(Times.begin(), Times.end());
  return Times.at(Times.size() * 99 / 100);
}

// A third of capacity, times eight from second 2 to 5.
template <class Order> std::vector<Served> swing(std::uint64_t Seed) {
  Stream Prices{.Kind = "price",
                .Deadline = Millis(60),
                .Rate = CapacityPerSecond / 3,
                .SwingFactor = 8,
                .SwingStart = Millis(2000),
                .SwingEnd = Millis(5000)};
  return Simulation<Order>(Seed).run({Prices}, Millis(9000));
}

// How many times as long short calls take at p99 beside long ones.
template <class Order>
double blocking(std::uint64_t Seed, bool DeclaredLong = true) {
  const Stream Prices{.Kind = "price", .Rate = CapacityPerSecond / 4};
  const Stream Reports{.Kind = "report",
                       .Long = DeclaredLong,
                       .Work = Millis(500),
                       .Deadline = Millis(20'000),
                       .Rate = 8};
  const auto Alone = Simulation<Order>(Seed).run({Prices}, Millis(20'000));
  const auto Beside =
      Simulation<Order>(Seed).run({Prices, Reports}, Millis(20'000));
  return p99Millis(Beside, "price") / p99Millis(Alone, "price");
}

} // namespace

BOOST_AUTO_TEST_CASE(GoodputHoldsInASwingAndIsNormalAfterIt) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    const auto Calls = swing<LaneOrder>(Seed);
    BOOST_TEST_MESSAGE("lanes " << goodput(Calls, Millis(2000), Millis(5000)));
    BOOST_TEST(goodput(Calls, Millis(2000), Millis(5000)) >= 0.9);
    const double Normal = goodput(Calls, Millis(500), Millis(2000));
    BOOST_TEST(goodput(Calls, Millis(7000), Millis(9000)) >= 0.9 * Normal);
    const double Plain =
        goodput(swing<FifoOrder>(Seed), Millis(2000), Millis(5000));
    BOOST_TEST_MESSAGE("fifo " << Plain);
    BOOST_TEST(Plain < 0.9);
  }
}

BOOST_AUTO_TEST_CASE(LongCallsDoNotBlockShortOnes) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    const double Lanes = blocking<LaneOrder>(Seed);
    const double Plain = blocking<FifoOrder>(Seed);
    BOOST_TEST_MESSAGE("lanes " << Lanes << " fifo " << Plain);
    BOOST_TEST(Lanes <= 1.5);
    BOOST_TEST(Plain > 1.5);
  }
}

BOOST_AUTO_TEST_CASE(LongCallsThatClaimToBeShortBlockLittle) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    const double Lanes = blocking<LaneOrder>(Seed, false);
    BOOST_TEST_MESSAGE("lying kind " << Lanes);
    BOOST_TEST(Lanes <= 1.5);
  }
}

BOOST_AUTO_TEST_SUITE_END()
