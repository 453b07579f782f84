#include <random>

#include <boost/test/unit_test.hpp>

#include "Membership/Backoff.h"
#include "Membership/EchoMonitor.h"

BOOST_AUTO_TEST_SUITE(EchoMonitors)

namespace {

using Common::Millis;
using namespace Membership;

const EchoLimits Limits{Millis(400), Millis(10'000), Millis(1200)};
constexpr Millis TickInterval{100};
const Common::SteadyTime Start{Millis(1'000'000)};

} // namespace

BOOST_AUTO_TEST_CASE(DetectsASilentConnectionWithinTwoSeconds) {
  std::mt19937_64 Random(3);
  for (int Round = 0; Round < 500; ++Round) {
    Common::SteadyTime Now = Start;
    EchoMonitor Monitor(Limits, Now);
    const auto SilentAt = Start + Millis(Random() % 30'000);
    // Answers arrive until the connection becomes silent. Calls are pending
    // from that time on.
    bool Detected = false;
    while (!Detected && Now < SilentAt + Millis(20'000)) {
      Now += TickInterval;
      const auto Step = Monitor.tick(Now >= SilentAt, Now);
      if (Step.SendEcho && Now < SilentAt)
        Monitor.onAnswer(*Step.SendEcho);
      Detected = Step.TimedOut;
    }
    BOOST_REQUIRE(Detected);
    BOOST_REQUIRE((Now - SilentAt < Millis(2000)));
  }
}

BOOST_AUTO_TEST_CASE(SendsFewEchoesWhenIdleAndDoesNotTimeOut) {
  EchoMonitor Monitor(Limits, Start);
  int Echoes = 0;
  for (auto Now = Start; Now < Start + Millis(60'000); Now += TickInterval) {
    const auto Step = Monitor.tick(false, Now);
    BOOST_REQUIRE(!Step.TimedOut);
    if (Step.SendEcho) {
      Monitor.onAnswer(*Step.SendEcho);
      ++Echoes;
    }
  }
  BOOST_TEST(Echoes == 6);
}

BOOST_AUTO_TEST_CASE(IgnoresAnAnswerToAnEarlierEcho) {
  EchoMonitor Monitor(Limits, Start);
  const auto First = Monitor.tick(true, Start).SendEcho;
  Monitor.onAnswer(*First);
  const auto Later = Start + Millis(500);
  BOOST_TEST(Monitor.tick(true, Later).SendEcho.has_value());
  Monitor.onAnswer(*First);
  Monitor.tick(true, Later + Millis(600));
  BOOST_TEST(Monitor.tick(true, Later + Millis(1200)).TimedOut);
}

BOOST_AUTO_TEST_CASE(DoesNotTimeOutAfterAPauseOfTheProcess) {
  EchoMonitor Monitor(Limits, Start);
  const auto Echo = Monitor.tick(true, Start).SendEcho;
  BOOST_TEST(!Monitor.tick(true, Start + Millis(60'000)).TimedOut);
  Monitor.onAnswer(*Echo);
  BOOST_TEST(!Monitor.tick(true, Start + Millis(60'100)).TimedOut);
}

BOOST_AUTO_TEST_CASE(NodesDoNotReconnectInStep) {
  Backoff FirstNode(1);
  Backoff SecondNode(2);
  Common::SteadyTime Now = Start;
  int Attempts = 0;
  int SimultaneousAttempts = 0;
  for (; Now < Start + Millis(60'000); Now += Millis(1)) {
    const bool FirstTries = FirstNode.mayTry(Now);
    const bool SecondTries = SecondNode.mayTry(Now);
    SimultaneousAttempts += FirstTries && SecondTries ? 1 : 0;
    Attempts += FirstTries ? 1 : 0;
    if (FirstTries)
      FirstNode.failed(Now);
    if (SecondTries)
      SecondNode.failed(Now);
  }
  BOOST_TEST(Attempts < 60);
  BOOST_TEST(SimultaneousAttempts < 5);
}

BOOST_AUTO_TEST_SUITE_END()
