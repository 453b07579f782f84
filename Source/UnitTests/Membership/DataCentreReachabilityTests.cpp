#include <boost/test/unit_test.hpp>

#include "Membership/DataCentreReachability.h"

BOOST_AUTO_TEST_SUITE(DataCentreReachabilities)

namespace {

using Common::Millis;
using Common::SteadyTime;
using Membership::DataCentreReachability;

constexpr Millis TickInterval{100};
const SteadyTime Start{Millis(1'000'000)};

struct Fixture {
  DataCentreReachability Tested;
  SteadyTime Now = Start;

  Fixture() {
    for (const char *Name : {"derby", "leicester"}) {
      Tested.update(Name, {}, Now);
      Tested.onReceived(Name, Now);
    }
  }
  // Lets time pass while echoes to nodes in derby that were sent at Since are
  // unanswered.
  void pass(Millis Length, std::optional<SteadyTime> Since, int Nodes = 2) {
    DataCentreReachability::Unanswered Echoes;
    for (int Node = 0; Since && Node < Nodes; ++Node)
      Echoes.add(*Since);
    for (const SteadyTime End = Now + Length; Now < End;) {
      Now += TickInterval;
      Tested.update("derby", Echoes, Now);
      Tested.update("leicester", {}, Now);
    }
  }
  bool isUnreachable() const { return Tested.unreachable().contains("derby"); }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(CutDataCentreIsFoundBeforeAConnectionTimesOut,
                        Fixture) {
  const SteadyTime EchoSent = Now;
  pass(Millis(300), EchoSent);
  BOOST_TEST((Tested.state("derby") == DataCentreReachability::State::InDoubt));
  pass(Millis(300), EchoSent);
  BOOST_TEST(isUnreachable());
  BOOST_TEST(Tested.unreachable().size() == 1U);
  // It stays so when the connections have timed out and none is left.
  pass(Millis(5'000), std::nullopt);
  BOOST_TEST(isUnreachable());
}

// One node of the data centre is frozen while another one answers.
BOOST_FIXTURE_TEST_CASE(SilentNodeIsNotASilentDataCentre, Fixture) {
  const SteadyTime EchoSent = Now;
  for (int Round = 0; Round < 20; ++Round) {
    pass(Millis(200), EchoSent);
    Tested.onReceived("derby", Now);
    BOOST_TEST(!isUnreachable());
  }
}

// A single dead node does not stand for a data centre of which this node calls
// no other one.
BOOST_FIXTURE_TEST_CASE(OneSilentNodeIsNotEnough, Fixture) {
  pass(Millis(5'000), Now, 1);
  BOOST_TEST((Tested.state("derby") == DataCentreReachability::State::InDoubt));
}

BOOST_FIXTURE_TEST_CASE(IdleDataCentreIsReachable, Fixture) {
  pass(Millis(60'000), std::nullopt);
  BOOST_TEST(
      (Tested.state("derby") == DataCentreReachability::State::Reachable));
  // The first echo after that counts from when it is sent.
  pass(Millis(200), Now);
  BOOST_TEST(
      (Tested.state("derby") == DataCentreReachability::State::Reachable));
}

BOOST_FIXTURE_TEST_CASE(FirstMessageEndsACut, Fixture) {
  pass(Millis(1'000), Now);
  BOOST_TEST(isUnreachable());
  Tested.onReceived("derby", Now);
  BOOST_TEST(!isUnreachable());
}

BOOST_FIXTURE_TEST_CASE(PauseOfTheProcessIsNoSilence, Fixture) {
  const SteadyTime EchoSent = Now;
  pass(Millis(200), EchoSent);
  Now += Millis(5'000);
  pass(Millis(200), EchoSent);
  BOOST_TEST(!isUnreachable());
}

BOOST_FIXTURE_TEST_CASE(UnreachableDataCentreIsProbedAtIntervals, Fixture) {
  BOOST_TEST(!Tested.takeProbe("derby", Now));
  pass(Millis(600), Now);
  BOOST_TEST(!Tested.takeProbe("derby", Now));
  int Probes = 0;
  for (int Tick = 0; Tick < 20; ++Tick) {
    pass(TickInterval, std::nullopt);
    Probes += Tested.takeProbe("derby", Now) ? 1 : 0;
  }
  BOOST_TEST(Probes == 4);
}

// All nodes of the data centre were replaced, so that no probe is answered.
BOOST_FIXTURE_TEST_CASE(UnreachableDataCentreIsTriedAgain, Fixture) {
  pass(Millis(600), Now);
  pass(Millis(9'900), std::nullopt);
  BOOST_TEST(isUnreachable());
  pass(Millis(200), std::nullopt);
  BOOST_TEST(!isUnreachable());
}

BOOST_AUTO_TEST_SUITE_END()
