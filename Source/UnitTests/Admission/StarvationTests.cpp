#include <functional>
#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "Admission/SlotQueue.h"
#include "Admission/ValueOrder.h"

BOOST_AUTO_TEST_SUITE(Starvation)

namespace {

using namespace Admission;
using Common::Micros;
using Common::Millis;

constexpr int Slots = 9;
constexpr std::size_t ManyKinds = 18;
constexpr Millis Length{60'000};
constexpr std::uint64_t Seeds = 10;

// Calls with random arrivals. Their service times are distributed uniformly
// between 0.5 and 1.5 times the mean.
struct Stream {
  // The offered load as a fraction of the capacity of all slots.
  double Demand = 0;
  Millis MeanServiceTime{100};
  Millis TargetLatency{300};
  Millis Timeout{800};
  // The number of kinds among which the calls are distributed at random.
  int Kinds = 1;
};

struct Outcome {
  int Calls = 0;
  int Served = 0;
  // Calls that were refused after at least half of their time had passed.
  int RefusedLate = 0;

  double servedShare() const { return static_cast<double>(Served) / Calls; }
};

// Simulates one server under several streams in virtual time.
class Simulation {
public:
  Simulation(std::vector<Stream> Sources, std::uint64_t Seed)
      : Streams(std::move(Sources)), Results(Streams.size()), Random(Seed) {
    Queue.setSlots(Slots, Now);
    for (std::size_t Index = 0; Index < Streams.size(); ++Index)
      scheduleArrival(Index);
    Events.emplace(Now + Tick, [this] { expire(); });
  }

  std::vector<Outcome> run() {
    while (!Events.empty()) {
      auto Next = Events.extract(Events.begin());
      Now = Next.key();
      Next.mapped()();
    }
    return Results;
  }

private:
  struct OpenCall {
    std::size_t StreamIndex = 0;
    Common::SteadyTime Arrived;
    Micros ServiceTime{0};
  };

  static constexpr Millis Tick{10};

  void scheduleArrival(std::size_t StreamIndex) {
    const Stream &Source = Streams[StreamIndex];
    std::exponential_distribution<double> Gap(
        Source.Demand * Slots /
        static_cast<double>(Micros(Source.MeanServiceTime).count()));
    const auto At = Now + Micros(static_cast<std::int64_t>(Gap(Random)));
    if (At < End)
      Events.emplace(At, [this, StreamIndex] { onArrival(StreamIndex); });
  }

  void onArrival(std::size_t StreamIndex) {
    scheduleArrival(StreamIndex);
    const Stream &Source = Streams[StreamIndex];
    std::uniform_real_distribution<double> TimeFactor(0.5, 1.5);
    std::uniform_int_distribution<int> KindIndex(1, Source.Kinds);
    QueuedCall Call;
    Call.Id = ++LastId;
    Call.Kind =
        std::to_string(StreamIndex) + "/" + std::to_string(KindIndex(Random));
    Call.TargetTime = Now + Source.TargetLatency;
    Call.TargetLatency = Source.TargetLatency;
    Call.Deadline = Now + Source.Timeout;
    const auto ServiceTime =
        static_cast<double>(Micros(Source.MeanServiceTime).count()) *
        TimeFactor(Random);
    Calls[Call.Id] = {StreamIndex, Now,
                      Micros(static_cast<std::int64_t>(ServiceTime))};
    ++Results[StreamIndex].Calls;
    handle(Queue.offer(Call, Now));
  }

  void expire() {
    handle(Queue.expire(Now));
    if (Now < End)
      Events.emplace(Now + Tick, [this] { expire(); });
  }

  void handle(const AdmissionActions &Actions) {
    for (const AdmissionAction &Action : Actions)
      if (const auto *Run = std::get_if<RunCall>(&Action))
        Events.emplace(Now + Calls.at(Run->Id).ServiceTime,
                       [this, Id = Run->Id] { finish(Id); });
      else
        onRefused(std::get<RefuseCall>(Action).Id);
  }

  void finish(QueuedCallId Id) {
    const OpenCall Call = Calls.extract(Id).mapped();
    if (Now - Call.Arrived <= Streams[Call.StreamIndex].Timeout)
      ++Results[Call.StreamIndex].Served;
    handle(Queue.onFinished(Id, Now));
  }

  void onRefused(QueuedCallId Id) {
    const OpenCall Call = Calls.extract(Id).mapped();
    if (2 * (Now - Call.Arrived) >= Streams[Call.StreamIndex].Timeout)
      ++Results[Call.StreamIndex].RefusedLate;
  }

  std::vector<Stream> Streams;
  std::vector<Outcome> Results;
  std::mt19937_64 Random;
  SlotQueue<ValueOrder> Queue;
  Common::SteadyTime Now{Millis(10'000)};
  const Common::SteadyTime End = Now + Length;
  std::multimap<Common::SteadyTime, std::function<void()>> Events;
  std::map<QueuedCallId, OpenCall> Calls;
  QueuedCallId LastId = 0;
};

// Returns the sums of the outcomes over all seeds.
std::vector<Outcome> simulate(const std::vector<Stream> &Streams) {
  std::vector<Outcome> Sum(Streams.size());
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Outcomes = Simulation(Streams, Seed).run();
    for (std::size_t Index = 0; Index < Sum.size(); ++Index) {
      Sum[Index].Calls += Outcomes[Index].Calls;
      Sum[Index].Served += Outcomes[Index].Served;
      Sum[Index].RefusedLate += Outcomes[Index].RefusedLate;
    }
  }
  for (std::size_t Index = 0; Index < Sum.size(); ++Index)
    BOOST_TEST_MESSAGE("stream " << Index << ": " << Sum[Index].Calls
                                 << " calls, " << Sum[Index].Served
                                 << " served, " << Sum[Index].RefusedLate
                                 << " refused late");
  return Sum;
}

const Stream Busy{1.6, Millis(140), Millis(300), Millis(800)};

} // namespace

// Guards against the starvation of newly added routes: their calls got no slot
// beside a busy kind with a tighter target.
BOOST_AUTO_TEST_CASE(NewRoutesAreServedUnderOverload) {
  const Stream Added{0.002, Millis(5), Millis(1000), Millis(1000), 15};
  const auto Result = simulate({Busy, Added});
  BOOST_TEST(Result[1].servedShare() >= Result[0].servedShare() / 4);
  BOOST_TEST(Result[1].RefusedLate <= Result[1].Calls / 10);
}

BOOST_AUTO_TEST_CASE(AKindWithALooseTargetIsServedBesideATightOne) {
  const Stream Loose{0.4, Millis(150), Millis(600), Millis(1500)};
  const auto Result = simulate({Busy, Loose});
  BOOST_TEST(Result[1].servedShare() >= Result[0].servedShare() / 4);
  BOOST_TEST(Result[1].RefusedLate <= Result[1].Calls / 10);
}

BOOST_AUTO_TEST_CASE(ALightKindWithATightTargetIsServedBesideAFlood) {
  const Stream Nested{0.25, Millis(22), Millis(120), Millis(250)};
  const Stream Flood{1.4, Millis(100), Millis(400), Millis(1000)};
  const auto Result = simulate({Nested, Flood});
  BOOST_TEST(Result[0].servedShare() >= 0.95);
}

BOOST_AUTO_TEST_CASE(NoKindStarvesWhenKindsOutnumberSlots) {
  std::vector<Stream> Streams;
  Streams.reserve(ManyKinds);
  for (std::size_t Index = 0; Index < ManyKinds; ++Index)
    Streams.push_back(
        {0.1, Millis(50), Millis(200) + Index * Millis(20), Millis(900)});
  const auto Result = simulate(Streams);
  int Calls = 0;
  int Served = 0;
  for (const Outcome &StreamResult : Result) {
    Calls += StreamResult.Calls;
    Served += StreamResult.Served;
  }
  for (const Outcome &StreamResult : Result)
    BOOST_TEST(StreamResult.servedShare() >=
               static_cast<double>(Served) / Calls / 4);
}

BOOST_AUTO_TEST_SUITE_END()
