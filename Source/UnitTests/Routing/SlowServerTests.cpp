#include <deque>
#include <functional>
#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "Config/ObjectSetBuilder.h"
#include "Routing/AdaptiveChoice.h"
#include "Routing/Dispatcher.h"

// Simulates caller-side nodes and servers in virtual time. Some servers are
// slow for part of each interval.
BOOST_AUTO_TEST_SUITE(SlowServers)

namespace {

using Common::Micros;
using Common::Millis;
using Common::SteadyTime;
using namespace Routing;

constexpr int ServerCount = 5;
constexpr int SlotsPerServer = 6;
constexpr int NodeCount = 4;
constexpr Micros OneWayDelay{200};
constexpr double MeanWorkSeconds = 0.005;
constexpr int SlowFactor = 10;
constexpr Millis SlowDuration{300};
constexpr Millis SlowInterval{1'000};
constexpr Millis RunTime{15'000};
constexpr Millis WarmUp{3'000};

struct Outcome {
  int Calls = 0;
  int Failed = 0;
  int ExtraAttempts = 0;
  std::vector<Micros> Latencies;

  Micros p99() {
    const auto Position = Latencies.begin() + Latencies.size() * 99 / 100;
    std::nth_element(Latencies.begin(), Position, Latencies.end());
    return *Position;
  }
};

struct Experiment {
  std::uint64_t Seed = 1;
  int SlowServers = 0;
  double CallsPerSecond = 2400;
  // Multiplies the call rate in the second half of the run.
  double LoadFactor = 1;
  bool Hedges = true;
};

template <class Policy> class Mesh {
public:
  Mesh(const Experiment &Options, const Policy &Choice)
      : Options(Options), Random(Options.Seed) {
    const auto Set =
        Config::ObjectSetBuilder()
            .input("f", "[service s]\n[retry r]\nattempts = 3\n"
                        "budget-percent = 10\n" +
                            std::string(Options.Hedges ? "hedge-after = 5ms\n"
                                                       : "") +
                            "[kind read]\nidempotent = yes\ndeadline = 1s\n"
                            "retry = r\n[route a]\nprefix = /\nservice = s\n"
                            "kind = read\n")
            .build();
    auto View = std::make_shared<ServerView>();
    for (int Index = 0; Index < ServerCount; ++Index)
      View->ByService["s"].push_back({std::to_string(Index),
                                      std::to_string(Index), "here",
                                      SlotsPerServer});
    for (int Node = 0; Node < NodeCount; ++Node) {
      ArmedFor.push_back(SteadyTime::max());
      Nodes.emplace_back("here", Choice);
      Nodes.back().useSet(1, Set);
      Nodes.back().useServers(View, Now);
    }
  }

  Outcome run() {
    startNextCall();
    startSlowPhase();
    while (!Events.empty()) {
      auto Next = Events.extract(Events.begin());
      Now = Next.key();
      Next.mapped()();
    }
    return std::move(Result);
  }

private:
  using AttemptKey = std::pair<int, AttemptId>;
  struct Server {
    std::deque<AttemptKey> Queue;
    std::set<AttemptKey> Running;
    bool Slow = false;
  };

  void schedule(Common::Duration Delay, std::function<void()> Work) {
    Events.emplace(Now + Delay, std::move(Work));
  }
  Common::Duration randomTime(double MeanSeconds) {
    return std::chrono::duration_cast<Common::Duration>(
        std::chrono::duration<double>(
            std::exponential_distribution<double>(1 / MeanSeconds)(Random)));
  }

  void startNextCall() {
    if (Now >= Start + RunTime)
      return;
    const bool IsSecondHalf = Now >= Start + RunTime / 2;
    const double Rate =
        Options.CallsPerSecond * (IsSecondHalf ? Options.LoadFactor : 1);
    schedule(randomTime(1 / Rate), [this] { startNextCall(); });
    const int Node = static_cast<int>(Random() % NodeCount);
    CallStart NewCall;
    NewCall.Call = Result.Calls++;
    NewCall.Path = "/";
    StartedAt.push_back(Now);
    perform(Node, Nodes[Node].startCall(std::move(NewCall), Now));
  }

  void startSlowPhase() {
    if (Now >= Start + RunTime)
      return;
    const std::size_t First = Random() % ServerCount;
    for (int Count = 0; Count < Options.SlowServers; ++Count)
      Servers[(First + Count) % ServerCount].Slow = true;
    schedule(SlowDuration, [this] {
      for (Server &Recovered : Servers)
        Recovered.Slow = false;
    });
    schedule(SlowInterval, [this] { startSlowPhase(); });
  }

  void perform(int Node, const DispatchActions &Actions) {
    for (const DispatchAction &Action : Actions) {
      if (const auto *Sent = std::get_if<SendAttempt>(&Action)) {
        schedule(OneWayDelay, [this, ServerIndex = std::stoi(Sent->Node),
                               Id = AttemptKey(Node, Sent->Request.Attempt)] {
          Servers[ServerIndex].Queue.push_back(Id);
          serve(ServerIndex);
        });
      } else if (const auto *Cancel = std::get_if<CancelAttempt>(&Action)) {
        schedule(OneWayDelay, [this, ServerIndex = std::stoi(Cancel->Node),
                               Id = AttemptKey(Node, Cancel->Attempt)] {
          std::erase(Servers[ServerIndex].Queue, Id);
          Servers[ServerIndex].Running.erase(Id);
          serve(ServerIndex);
        });
      } else {
        answered(std::get<AnswerCaller>(Action));
      }
    }
    armTimer(Node);
  }

  void armTimer(int Node) {
    const auto Due = Nodes[Node].nextDue();
    if (!Due || ArmedFor[Node] <= *Due)
      return;
    ArmedFor[Node] = *Due;
    schedule(*Due - Now, [this, Node, ArmedTime = *Due] {
      if (ArmedFor[Node] != ArmedTime)
        return;
      ArmedFor[Node] = SteadyTime::max();
      perform(Node, Nodes[Node].runDue(Now));
    });
  }

  void answered(const AnswerCaller &Answer) {
    const SteadyTime StartTime = StartedAt[Answer.Call];
    if (StartTime < Start + WarmUp)
      return;
    Result.Failed += Answer.Reply.Result != Common::ResultCode::Ok;
    Result.ExtraAttempts += Answer.Attempts - 1;
    Result.Latencies.push_back(
        std::chrono::duration_cast<Micros>(Now - StartTime));
  }

  void serve(int ServerIndex) {
    Server &Current = Servers[ServerIndex];
    while (Current.Running.size() < SlotsPerServer && !Current.Queue.empty()) {
      const AttemptKey Id = Current.Queue.front();
      Current.Queue.pop_front();
      Current.Running.insert(Id);
      const auto Work =
          randomTime(MeanWorkSeconds) * (Current.Slow ? SlowFactor : 1);
      schedule(Work, [this, ServerIndex, Id] { finish(ServerIndex, Id); });
    }
  }

  void finish(int ServerIndex, AttemptKey Id) {
    Server &Current = Servers[ServerIndex];
    if (Current.Running.erase(Id) == 0)
      return;
    CallReply Reply;
    Reply.Attempt = Id.second;
    Reply.HttpStatus = 200;
    Reply.Load = {static_cast<int>(Current.Queue.size()),
                  static_cast<int>(Current.Running.size()), SlotsPerServer};
    schedule(OneWayDelay, [this, Reply, Node = Id.first] {
      perform(Node, Nodes[Node].handleReply(Reply, Now));
    });
    serve(ServerIndex);
  }

  Experiment Options;
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

template <class Policy> Outcome run(const Experiment &Options, Policy Choice) {
  Outcome Result = Mesh<Policy>(Options, std::move(Choice)).run();
  const Micros P99 = Result.p99();
  BOOST_TEST_MESSAGE("seed " << Options.Seed << ", slow " << Options.SlowServers
                             << ", load factor " << Options.LoadFactor
                             << (Options.Hedges ? "" : ", no hedges")
                             << ": p99 " << P99.count() << " us, extra "
                             << Result.ExtraAttempts << ", failed "
                             << Result.Failed << " of " << Result.Calls);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(KeepsTailLatencyLowWhileServersAreSlow) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    Outcome Baseline = run({Seed, 0}, AdaptiveChoice(Seed));
    for (const int Slow : {1, 2}) {
      Outcome Adaptive = run({Seed, Slow}, AdaptiveChoice(Seed));
      Outcome RoundRobin =
          run({.Seed = Seed, .SlowServers = Slow, .Hedges = false},
              RoundRobinChoice());
      BOOST_TEST(Adaptive.p99() <= 1.5 * Baseline.p99());
      BOOST_TEST(3 * Adaptive.p99() <= RoundRobin.p99());
      BOOST_TEST(Adaptive.ExtraAttempts * 10 <=
                 static_cast<int>(Adaptive.Latencies.size()));
      BOOST_TEST(Adaptive.Failed == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(ServesALoadPeak) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    const Experiment Peak{Seed, 0, 1200, 4};
    Outcome Adaptive = run(Peak, AdaptiveChoice(Seed));
    BOOST_TEST(Adaptive.Failed == 0);
    BOOST_TEST(Adaptive.ExtraAttempts * 10 <=
               static_cast<int>(Adaptive.Latencies.size()));
    BOOST_TEST(Adaptive.p99() <= run(Peak, RandomChoice(Seed)).p99());
  }
}

BOOST_AUTO_TEST_SUITE_END()
