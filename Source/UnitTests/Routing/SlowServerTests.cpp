#include <deque>
#include <functional>
#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "Config/ObjectSetBuilder.h"
#include "Routing/AdaptiveChoice.h"
#include "Routing/Dispatcher.h"

// Near nodes and servers in virtual time, with slowness that comes and goes.
BOOST_AUTO_TEST_SUITE(SlowServers)

namespace {

using Common::Micros;
using Common::Millis;
using Common::SteadyTime;
using namespace Routing;

constexpr int ServerCount = 5;
constexpr int SlotsEach = 6;
constexpr int NodeCount = 4;
constexpr Micros OneWay{200};
constexpr double MeanWorkSeconds = 0.005;
constexpr int SlowFactor = 10;
constexpr Millis SlowTime{300};
constexpr Millis SlowInterval{1'000};
constexpr Millis RunTime{15'000};
constexpr Millis WarmUp{3'000};

struct Outcome {
  int Calls = 0;
  int Failed = 0;
  int ExtraAttempts = 0;
  std::vector<Micros> Latencies;

  Micros p99() {
    const auto At = Latencies.begin() + Latencies.size() * 99 / 100;
    std::nth_element(Latencies.begin(), At, Latencies.end());
    return *At;
  }
};

struct Experiment {
  std::uint64_t Seed = 1;
  int SlowServers = 0;
  double CallsPerSecond = 2400;
  // From the middle of the run on.
  double SwingFactor = 1;
  bool Hedges = true;
};

template <class Policy> class Mesh {
public:
  Mesh(const Experiment &Wanted, const Policy &Choice)
      : Wanted(Wanted), Random(Wanted.Seed) {
    const auto Set =
        Config::ObjectSetBuilder()
            .input("f",
                   "[service s]\n[retry r]\nattempts = 3\n"
                   "budget-percent = 10\n" +
                       std::string(Wanted.Hedges ? "hedge-after = 5ms\n" : "") +
                       "[kind read]\nidempotent = yes\ndeadline = 1s\n"
                       "retry = r\n[route a]\nprefix = /\nservice = s\n"
                       "kind = read\n")
            .build();
    auto View = std::make_shared<ServerView>();
    for (int Index = 0; Index < ServerCount; ++Index)
      View->ByService["s"].push_back(
          {std::to_string(Index), std::to_string(Index), "here", SlotsEach});
    for (int Node = 0; Node < NodeCount; ++Node) {
      ArmedFor.push_back(SteadyTime::max());
      Nodes.emplace_back("here", Choice);
      Nodes.back().useSet(1, Set);
      Nodes.back().useServers(View, Now);
    }
  }

  Outcome run() {
    arrive();
    slowDown();
    while (!Events.empty()) {
      auto Next = Events.extract(Events.begin());
      Now = Next.key();
      Next.mapped()();
    }
    return std::move(Result);
  }

private:
  using Key = std::pair<int, AttemptId>;
  struct Server {
    std::deque<Key> Queue;
    std::set<Key> Running;
    bool Slow = false;
  };

  void after(Common::Duration Delay, std::function<void()> Work) {
    Events.emplace(Now + Delay, std::move(Work));
  }
  Common::Duration randomTime(double MeanSeconds) {
    return std::chrono::duration_cast<Common::Duration>(
        std::chrono::duration<double>(
            std::exponential_distribution<double>(1 / MeanSeconds)(Random)));
  }

  void arrive() {
    if (Now >= Start + RunTime)
      return;
    const bool Swung = Now >= Start + RunTime / 2;
    const double Rate =
        Wanted.CallsPerSecond * (Swung ? Wanted.SwingFactor : 1);
    after(randomTime(1 / Rate), [this] { arrive(); });
    const int Node = static_cast<int>(Random() % NodeCount);
    CallStart Asked;
    Asked.Call = Result.Calls++;
    Asked.Path = "/";
    StartedAt.push_back(Now);
    act(Node, Nodes[Node].begin(std::move(Asked), Now));
  }

  void slowDown() {
    if (Now >= Start + RunTime)
      return;
    const std::size_t First = Random() % ServerCount;
    for (int Count = 0; Count < Wanted.SlowServers; ++Count)
      Servers[(First + Count) % ServerCount].Slow = true;
    after(SlowTime, [this] {
      for (Server &Each : Servers)
        Each.Slow = false;
    });
    after(SlowInterval, [this] { slowDown(); });
  }

  void act(int Node, const DispatchActions &Actions) {
    for (const DispatchAction &Each : Actions) {
      if (const auto *Sent = std::get_if<SendAttempt>(&Each)) {
        after(OneWay, [this, Where = std::stoi(Sent->Node),
                       Id = Key(Node, Sent->Request.Attempt)] {
          Servers[Where].Queue.push_back(Id);
          serve(Where);
        });
      } else if (const auto *Cancel = std::get_if<CancelAttempt>(&Each)) {
        after(OneWay, [this, Where = std::stoi(Cancel->Node),
                       Id = Key(Node, Cancel->Attempt)] {
          std::erase(Servers[Where].Queue, Id);
          Servers[Where].Running.erase(Id);
          serve(Where);
        });
      } else {
        answered(std::get<AnswerCaller>(Each));
      }
    }
    armTimer(Node);
  }

  void armTimer(int Node) {
    const auto Due = Nodes[Node].nextDue();
    if (!Due || ArmedFor[Node] <= *Due)
      return;
    ArmedFor[Node] = *Due;
    after(*Due - Now, [this, Node, At = *Due] {
      if (ArmedFor[Node] != At)
        return;
      ArmedFor[Node] = SteadyTime::max();
      act(Node, Nodes[Node].runDue(Now));
    });
  }

  void answered(const AnswerCaller &Part) {
    const SteadyTime Began = StartedAt[Part.Call];
    if (Began < Start + WarmUp)
      return;
    Result.Failed += Part.Reply.Result != Common::ResultCode::Ok;
    Result.ExtraAttempts += Part.Attempts - 1;
    Result.Latencies.push_back(std::chrono::duration_cast<Micros>(Now - Began));
  }

  void serve(int Where) {
    Server &At = Servers[Where];
    while (At.Running.size() < SlotsEach && !At.Queue.empty()) {
      const Key Id = At.Queue.front();
      At.Queue.pop_front();
      At.Running.insert(Id);
      const auto Work =
          randomTime(MeanWorkSeconds) * (At.Slow ? SlowFactor : 1);
      after(Work, [this, Where, Id] { finish(Where, Id); });
    }
  }

  void finish(int Where, Key Id) {
    Server &At = Servers[Where];
    if (At.Running.erase(Id) == 0)
      return;
    CallReply Reply;
    Reply.Attempt = Id.second;
    Reply.HttpStatus = 200;
    Reply.Load = {static_cast<int>(At.Queue.size()),
                  static_cast<int>(At.Running.size()), SlotsEach};
    after(OneWay, [this, Reply, Node = Id.first] {
      act(Node, Nodes[Node].reply(Reply, Now));
    });
    serve(Where);
  }

  Experiment Wanted;
  std::mt19937_64 Random;
  const SteadyTime Start{Millis(1'000'000)};
  SteadyTime Now = Start;
  std::multimap<SteadyTime, std::function<void()>> Events;
  std::array<Server, ServerCount> Servers;
  std::deque<Dispatcher<Policy>> Nodes;
  std::vector<SteadyTime> ArmedFor;
  std::vector<SteadyTime> StartedAt;
  Outcome Result;
};

template <class Policy> Outcome run(const Experiment &Wanted, Policy Choice) {
  Outcome Result = Mesh<Policy>(Wanted, std::move(Choice)).run();
  const Micros P99 = Result.p99();
  BOOST_TEST_MESSAGE("seed " << Wanted.Seed << ", slow " << Wanted.SlowServers
                             << ", swing " << Wanted.SwingFactor
                             << (Wanted.Hedges ? "" : ", no hedges") << ": p99 "
                             << P99.count() << " us, extra "
                             << Result.ExtraAttempts << ", failed "
                             << Result.Failed << " of " << Result.Calls);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(KeepsTheTailShortWhileServersAreSlow) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    Outcome Calm = run({Seed, 0}, AdaptiveChoice(Seed));
    for (const int Slow : {1, 2}) {
      Outcome Ours = run({Seed, Slow}, AdaptiveChoice(Seed));
      Outcome InTurn = run({.Seed = Seed, .SlowServers = Slow, .Hedges = false},
                           RoundRobinChoice());
      BOOST_TEST(Ours.p99() <= 1.5 * Calm.p99());
      BOOST_TEST(3 * Ours.p99() <= InTurn.p99());
      BOOST_TEST(Ours.ExtraAttempts * 10 <=
                 static_cast<int>(Ours.Latencies.size()));
      BOOST_TEST(Ours.Failed == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(ServesTheCrestOfASwing) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    const Experiment Swing{Seed, 0, 1200, 4};
    Outcome Ours = run(Swing, AdaptiveChoice(Seed));
    BOOST_TEST(Ours.Failed == 0);
    BOOST_TEST(Ours.ExtraAttempts * 10 <=
               static_cast<int>(Ours.Latencies.size()));
    BOOST_TEST(Ours.p99() <= run(Swing, RandomChoice(Seed)).p99());
  }
}

BOOST_AUTO_TEST_SUITE_END()
