#include <boost/test/unit_test.hpp>

#include "Admission/SlotShares.h"

BOOST_AUTO_TEST_SUITE(SlotShareTests)

namespace {

using Admission::SlotShares;
using Common::Millis;

struct Fixture {
  SlotShares Shares;
  Common::SteadyTime Now{Millis(10'000)};

  // Calls of the kind hold this many slots for ten half-lives.
  void holdSlots(const std::string &Kind, Millis TargetLatency, int Slots) {
    constexpr Millis ServiceTime{50};
    const Common::SteadyTime Start = Now;
    for (; Now < Start + 10 * SlotShares::HalfLife; Now += ServiceTime)
      for (int Index = 0; Index < Slots; ++Index)
        Shares.charge(Kind, TargetLatency, ServiceTime, Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ReportsTheMeanNumberOfSlotsOfAKind, Fixture) {
  holdSlots("busy", Millis(300), 4);
  BOOST_TEST(Shares.slotsOf("busy", Now) == 4,
             boost::test_tools::tolerance(0.02));
  BOOST_TEST(Shares.slotsOf("unknown", Now) == 0);
}

BOOST_FIXTURE_TEST_CASE(UsageDecaysByHalfInEachHalfLife, Fixture) {
  holdSlots("busy", Millis(300), 4);
  const double Before = Shares.slotsOf("busy", Now);
  BOOST_TEST(Shares.slotsOf("busy", Now + SlotShares::HalfLife) == Before / 2,
             boost::test_tools::tolerance(0.001));
}

BOOST_FIXTURE_TEST_CASE(CountsOnlyKindsWithTighterTargets, Fixture) {
  holdSlots("busy", Millis(300), 4);
  Shares.charge("loose", Millis(1000), Millis(100), Now);
  BOOST_TEST(Shares.slotsOfTighterKinds(Millis(300), Now) == 0);
  BOOST_TEST(Shares.slotsOfTighterKinds(Millis(1000), Now) == 4,
             boost::test_tools::tolerance(0.02));
}

BOOST_FIXTURE_TEST_CASE(BoundsTheNumberOfKinds, Fixture) {
  for (int Index = 0; Index < 10'000; ++Index) {
    Shares.charge("k" + std::to_string(Index), Millis(300), Millis(1), Now);
    Now += Millis(100);
  }
  BOOST_TEST(Shares.size() <= 256);
}

BOOST_AUTO_TEST_SUITE_END()
