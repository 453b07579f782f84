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

// Calls that arrive at random and hold a slot for half to one and a half of
// Work.
struct Stream {
  // Share of the slots that its calls would hold if none had to wait.
  double Demand = 0;
  Millis Work{100};
  Millis Target{300};
  Millis Deadline{800};
  // Each call has a kind of its own when there are many.
  int Kinds = 1;
};

struct Outcome {
  int Calls = 0;
  int Served = 0;
  // Refused after they had been held for half of their time.
  int HeldInVain = 0;

  double share() const { return static_cast<double>(Served) / Calls; }
};

// One server under several streams in virtual time.
class Replay {
public:
  Replay(std::vector<Stream> Given, std::uint64_t Seed)
      : Streams(std::move(Given)), Results(Streams.size()), Random(Seed) {
    Queue.setSlots(Slots, Now);
    for (std::size_t Index = 0; Index < Streams.size(); ++Index)
      comeLater(Index);
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
  struct Open {
    std::size_t Of = 0;
    Common::SteadyTime Came;
    Micros Work{0};
  };

  static constexpr Millis Tick{10};

  void comeLater(std::size_t Of) {
    const Stream &Given = Streams[Of];
    std::exponential_distribution<double> Gap(
        Given.Demand * Slots / static_cast<double>(Micros(Given.Work).count()));
    const auto At = Now + Micros(static_cast<std::int64_t>(Gap(Random)));
    if (At < End)
      Events.emplace(At, [this, Of] { come(Of); });
  }

  void come(std::size_t Of) {
    comeLater(Of);
    const Stream &Given = Streams[Of];
    std::uniform_real_distribution<double> Spread(0.5, 1.5);
    std::uniform_int_distribution<int> Which(1, Given.Kinds);
    Ticket Call;
    Call.Id = ++Last;
    Call.Kind = std::to_string(Of) + "/" + std::to_string(Which(Random));
    Call.Target = Now + Given.Target;
    Call.TargetLength = Given.Target;
    Call.Deadline = Now + Given.Deadline;
    const auto Work =
        static_cast<double>(Micros(Given.Work).count()) * Spread(Random);
    Calls[Call.Id] = {Of, Now, Micros(static_cast<std::int64_t>(Work))};
    ++Results[Of].Calls;
    note(Queue.offer(Call, Now));
  }

  void expire() {
    note(Queue.expire(Now));
    if (Now < End)
      Events.emplace(Now + Tick, [this] { expire(); });
  }

  void note(const AdmissionActions &Actions) {
    for (const AdmissionAction &Each : Actions)
      if (const auto *Run = std::get_if<RunCall>(&Each))
        Events.emplace(Now + Calls.at(Run->Id).Work,
                       [this, Id = Run->Id] { finish(Id); });
      else
        refused(std::get<RefuseCall>(Each).Id);
  }

  void finish(TicketId Id) {
    const Open Ended = Calls.extract(Id).mapped();
    if (Now - Ended.Came <= Streams[Ended.Of].Deadline)
      ++Results[Ended.Of].Served;
    note(Queue.finished(Id, Now));
  }

  void refused(TicketId Id) {
    const Open Ended = Calls.extract(Id).mapped();
    if (2 * (Now - Ended.Came) >= Streams[Ended.Of].Deadline)
      ++Results[Ended.Of].HeldInVain;
  }

  std::vector<Stream> Streams;
  std::vector<Outcome> Results;
  std::mt19937_64 Random;
  SlotQueue<ValueOrder> Queue;
  Common::SteadyTime Now{Millis(10'000)};
  const Common::SteadyTime End = Now + Length;
  std::multimap<Common::SteadyTime, std::function<void()>> Events;
  std::map<TicketId, Open> Calls;
  TicketId Last = 0;
};

std::vector<Outcome> replay(const std::vector<Stream> &Streams) {
  std::vector<Outcome> Sum(Streams.size());
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Each = Replay(Streams, Seed).run();
    for (std::size_t Index = 0; Index < Sum.size(); ++Index) {
      Sum[Index].Calls += Each[Index].Calls;
      Sum[Index].Served += Each[Index].Served;
      Sum[Index].HeldInVain += Each[Index].HeldInVain;
    }
  }
  for (std::size_t Index = 0; Index < Sum.size(); ++Index)
    BOOST_TEST_MESSAGE("stream " << Index << ": " << Sum[Index].Calls
                                 << " calls, " << Sum[Index].Served
                                 << " served, " << Sum[Index].HeldInVain
                                 << " held in vain");
  return Sum;
}

const Stream Busy{1.6, Millis(140), Millis(300), Millis(800)};

} // namespace

// Routes that were added got no slot beside a busy kind with a tighter target.
BOOST_AUTO_TEST_CASE(RoutesThatWereAddedAreServedAboveCapacity) {
  const Stream Added{0.002, Millis(5), Millis(1000), Millis(1000), 15};
  const auto Result = replay({Busy, Added});
  BOOST_TEST(Result[1].share() >= Result[0].share() / 4);
  BOOST_TEST(Result[1].HeldInVain <= Result[1].Calls / 10);
}

BOOST_AUTO_TEST_CASE(ALooseKindOfSomeWeightIsServedBesideATightOne) {
  const Stream Loose{0.4, Millis(150), Millis(600), Millis(1500)};
  const auto Result = replay({Busy, Loose});
  BOOST_TEST(Result[1].share() >= Result[0].share() / 4);
  BOOST_TEST(Result[1].HeldInVain <= Result[1].Calls / 10);
}

BOOST_AUTO_TEST_CASE(ALightTightKindIsServedBesideALooseFlood) {
  const Stream Nested{0.25, Millis(22), Millis(120), Millis(250)};
  const Stream Flood{1.4, Millis(100), Millis(400), Millis(1000)};
  const auto Result = replay({Nested, Flood});
  BOOST_TEST(Result[0].share() >= 0.95);
}

BOOST_AUTO_TEST_CASE(MoreKindsThanSlotsStarveNone) {
  std::vector<Stream> Streams;
  Streams.reserve(ManyKinds);
  for (std::size_t Index = 0; Index < ManyKinds; ++Index)
    Streams.push_back(
        {0.1, Millis(50), Millis(200) + Index * Millis(20), Millis(900)});
  const auto Result = replay(Streams);
  int Calls = 0;
  int Served = 0;
  for (const Outcome &Each : Result) {
    Calls += Each.Calls;
    Served += Each.Served;
  }
  for (const Outcome &Each : Result)
    BOOST_TEST(Each.share() >= static_cast<double>(Served) / Calls / 4);
}

BOOST_AUTO_TEST_SUITE_END()
