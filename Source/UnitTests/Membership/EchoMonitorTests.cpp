#include <random>

#include <boost/test/unit_test.hpp>

#include "Membership/Backoff.h"
#include "Membership/EchoMonitor.h"

BOOST_AUTO_TEST_SUITE(EchoMonitors)

namespace {

using Common::Millis;
using namespace Membership;

const EchoLimits Limits{Millis(400), Millis(10'000), Millis(1200)};
constexpr Millis Tick{100};
const Common::SteadyTime Start{Millis(1'000'000)};

} // namespace

BOOST_AUTO_TEST_CASE(FindsASilentConnectionWithinTwoSeconds) {
  std::mt19937_64 Random(3);
  for (int Round = 0; Round < 500; ++Round) {
    Common::SteadyTime Now = Start;
    EchoMonitor Tested(Limits, Now);
    const auto SilentAt = Start + Millis(Random() % 30'000);
    // The answers get through until the connection falls silent; the calls
    // that suffer begin at the same moment.
    bool Found = false;
    while (!Found && Now < SilentAt + Millis(20'000)) {
      Now += Tick;
      const auto Step = Tested.tick(Now >= SilentAt, Now);
      if (Step.SendEcho && Now < SilentAt)
        Tested.answered(*Step.SendEcho);
      Found = Step.IsSilent;
    }
    BOOST_REQUIRE(Found);
    BOOST_REQUIRE((Now - SilentAt < Millis(2000)));
  }
}

BOOST_AUTO_TEST_CASE(SendsFewEchoesWhenIdleAndGivesUpNothing) {
  EchoMonitor Tested(Limits, Start);
  int Echoes = 0;
  for (auto Now = Start; Now < Start + Millis(60'000); Now += Tick) {
    const auto Step = Tested.tick(false, Now);
    BOOST_REQUIRE(!Step.IsSilent);
    if (Step.SendEcho) {
      Tested.answered(*Step.SendEcho);
      ++Echoes;
    }
  }
  BOOST_TEST(Echoes == 6);
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnEarlierEchoShowsNothing) {
  EchoMonitor Tested(Limits, Start);
  const auto First = Tested.tick(true, Start).SendEcho;
  Tested.answered(*First);
  const auto Later = Start + Millis(500);
  BOOST_TEST(Tested.tick(true, Later).SendEcho.has_value());
  Tested.answered(*First);
  Tested.tick(true, Later + Millis(600));
  BOOST_TEST(Tested.tick(true, Later + Millis(1200)).IsSilent);
}

BOOST_AUTO_TEST_CASE(BlamesNoConnectionForItsOwnSleep) {
  EchoMonitor Tested(Limits, Start);
  const auto Echo = Tested.tick(true, Start).SendEcho;
  BOOST_TEST(!Tested.tick(true, Start + Millis(60'000)).IsSilent);
  Tested.answered(*Echo);
  BOOST_TEST(!Tested.tick(true, Start + Millis(60'100)).IsSilent);
}

BOOST_AUTO_TEST_CASE(AHerdDoesNotReconnectInStep) {
  Backoff Tested(1);
  Backoff Other(2);
  Common::SteadyTime Now = Start;
  int Tries = 0;
  int Together = 0;
  for (; Now < Start + Millis(60'000); Now += Millis(1)) {
    const bool First = Tested.mayTry(Now);
    const bool Second = Other.mayTry(Now);
    Together += First && Second ? 1 : 0;
    Tries += First ? 1 : 0;
    if (First)
      Tested.failed(Now);
    if (Second)
      Other.failed(Now);
  }
  BOOST_TEST(Tries < 60);
  BOOST_TEST(Together < 5);
}

BOOST_AUTO_TEST_SUITE_END()
