#include <boost/test/unit_test.hpp>

#include "Membership/AnnouncementFilter.h"
#include "Membership/DirectoryBootstrap.h"
#include "Membership/LoadReportScheduler.h"

BOOST_AUTO_TEST_SUITE(Joining)

namespace {

using namespace Membership;
using Common::Millis;
using Common::ResultCode;

Announcement announcement(const std::string &Server, Millis Born,
                          std::int64_t Sequence, bool Leaving = false) {
  Announcement Result;
  Result.Server = {"s", Server, 6, Leaving};
  Result.Born = Common::WallTime(Born);
  Result.Sequence = Sequence;
  return Result;
}

Departure departure(const std::string &Server, std::optional<Millis> Born,
                    Millis HeardAt = Millis(20)) {
  Departure Result{Server, std::nullopt, Common::WallTime(HeardAt)};
  if (Born)
    Result.Born = Common::WallTime(*Born);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(TakesAnnouncementsInTheirOrderAlone) {
  AnnouncementGate Gate;
  BOOST_TEST((Gate.take(announcement("a", Millis(5), 2)) == ResultCode::Ok));
  BOOST_TEST((Gate.take(announcement("a", Millis(5), 1)) ==
              ResultCode::HeartbeatStale));
  BOOST_TEST((Gate.take(announcement("a", Millis(5), 3)) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(KeepsToLeavingUntilTheNextLife) {
  AnnouncementGate Gate;
  Gate.take(announcement("a", Millis(5), 1));
  Gate.take(announcement("a", Millis(5), 2, true));
  BOOST_TEST((Gate.take(announcement("a", Millis(5), 3)) ==
              ResultCode::HeartbeatStale));
  // The same name begins a new life with new counts.
  BOOST_TEST((Gate.take(announcement("a", Millis(9), 0)) == ResultCode::Ok));
  BOOST_TEST(Gate.leave(departure("a", Millis(9))));
  BOOST_TEST((Gate.take(announcement("a", Millis(9), 1)) ==
              ResultCode::HeartbeatStale));
  BOOST_TEST(!Gate.leave(departure("b", Millis(9))));
}

// A node that starts anew may hear of a leaving first, and then a heartbeat
// that was held up.
BOOST_AUTO_TEST_CASE(KeepsToALeavingOfAServerThatItDidNotKnow) {
  for (const auto &Born : {std::optional(Millis(5)), std::optional<Millis>()}) {
    AnnouncementGate Gate;
    BOOST_TEST(!Gate.leave(departure("a", Born)));
    BOOST_TEST((Gate.take(announcement("a", Millis(5), 7)) ==
                ResultCode::HeartbeatStale));
    BOOST_TEST((Gate.take(announcement("a", Millis(30), 0)) == ResultCode::Ok));
  }
}

BOOST_AUTO_TEST_CASE(ALeavingOfAnEarlierLifeEndsNoLaterOne) {
  AnnouncementGate Gate;
  Gate.take(announcement("a", Millis(9), 1));
  BOOST_TEST(!Gate.leave(departure("a", Millis(5))));
  BOOST_TEST((Gate.take(announcement("a", Millis(9), 2)) == ResultCode::Ok));
  BOOST_TEST(!Gate.leave(departure("old", Millis(5))));
  BOOST_TEST((Gate.take(announcement("a", Millis(9), 3)) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(IgnoresAnEarlierServerAtTheSamePlace) {
  AnnouncementGate Gate;
  Gate.take(announcement("new", Millis(9), 1));
  BOOST_TEST((Gate.take(announcement("old", Millis(5), 70)) ==
              ResultCode::HeartbeatStale));
}

BOOST_AUTO_TEST_CASE(AnnouncesBeforeItLists) {
  Introducer Tested("here", 1);
  Common::SteadyTime Now{Millis(1000)};
  BOOST_TEST((Tested.next(Now) == DirectoryStep::Announce));
  BOOST_TEST((Tested.next(Now) == DirectoryStep::None));
  Tested.announced(true, Now);
  BOOST_TEST((Tested.next(Now) == DirectoryStep::List));
  const auto Seeds = Tested.listed(
      true, {{"a", "here", {"1", 1}}, {"b", "there", {"2", 2}}}, Now);
  BOOST_TEST(Seeds.Home.size() == 1U);
  BOOST_TEST(Seeds.Foreign.size() == 1U);
  Tested.membersKnown(3);
  Now += Millis(60'000);
  BOOST_TEST((Tested.next(Now) == DirectoryStep::None));
}

BOOST_AUTO_TEST_CASE(TriesAgainWhileTheDirectoryIsAwayAndWhenAlone) {
  Introducer Tested("here", 1);
  Common::SteadyTime Now{Millis(1000)};
  int Calls = 0;
  for (int Step = 0; Step < 100; ++Step, Now += Millis(100))
    if (Tested.next(Now) == DirectoryStep::Announce) {
      ++Calls;
      Tested.announced(false, Now);
    }
  BOOST_TEST(Calls >= 3);
  BOOST_TEST(Calls <= 15);
  Now += Millis(10'000);
  BOOST_TEST((Tested.next(Now) == DirectoryStep::Announce));
  Tested.announced(true, Now);
  BOOST_TEST((Tested.next(Now) == DirectoryStep::List));
  Tested.listed(true, {}, Now);
  Tested.membersKnown(2);
  Now += Millis(10'000);
  BOOST_TEST((Tested.next(Now) == DirectoryStep::None));
  Tested.membersKnown(1);
  BOOST_TEST((Tested.next(Now) == DirectoryStep::List));
}

// Seen on a recorded day of the grown fleet of Ashcombe: all nodes started at
// once, the first announcement of one failed, and a node of another data centre
// found it before the second. It never listed, and for 16 seconds knew no
// server of three services.
BOOST_AUTO_TEST_CASE(ListsAlsoWhenItWasFoundBeforeItsAnnouncement) {
  Introducer Tested("here", 1);
  Common::SteadyTime Now{Millis(1000)};
  BOOST_TEST((Tested.next(Now) == DirectoryStep::Announce));
  Tested.announced(false, Now);
  Tested.membersKnown(2);
  Now += Millis(1000);
  BOOST_TEST((Tested.next(Now) == DirectoryStep::Announce));
  Tested.announced(true, Now);
  BOOST_TEST((Tested.next(Now) == DirectoryStep::List));
  // A list that fails is asked for again.
  Tested.listed(false, {}, Now);
  Now += Millis(1000);
  BOOST_TEST((Tested.next(Now) == DirectoryStep::List));
}

BOOST_AUTO_TEST_CASE(TellsCallersWhenRoomComesOrGoes) {
  LoadSharing Tested(true);
  const LoadListeners Few{.Near = 1, .Far = 0};
  Common::SteadyTime Now{Millis(1000)};
  const Routing::ServerLoad Full{.Queued = 3, .BusySlots = 6, .Slots = 6};
  const Routing::ServerLoad Free{.Queued = 0, .BusySlots = 1, .Slots = 6};
  const Routing::ServerLoad Freer{.Queued = 0, .BusySlots = 0, .Slots = 6};
  BOOST_TEST(!Tested.isDue(Full, Few, Now));
  Tested.called(Now);
  Tested.told(Full, Now);
  BOOST_TEST(!Tested.isDue(Free, Few, Now));
  Now += LoadSharing::NearInterval;
  BOOST_TEST(!Tested.isDue(Full, Few, Now));
  BOOST_TEST(Tested.isDue(Free, Few, Now));
  Tested.told(Free, Now);
  Now += LoadSharing::NearInterval;
  // A server that is hardly used is told of once.
  BOOST_TEST(!Tested.isDue(Freer, Few, Now));
  Now += LoadSharing::InterestLife;
  BOOST_TEST(!Tested.isDue(Full, Few, Now));
}

// Load pattern: 60 near nodes call one server, and its room comes and goes at
// each call.
BOOST_AUTO_TEST_CASE(TellsManyCallersNoMoreInAllThanAFew) {
  constexpr int Nodes = 60;
  constexpr int NearNodes = 15;
  const Routing::ServerLoad Full{.Queued = 3, .BusySlots = 6, .Slots = 6};
  const Routing::ServerLoad Free{.Queued = 0, .BusySlots = 1, .Slots = 6};
  std::vector<LoadSharing> Listeners;
  Common::SteadyTime Now{Millis(1000)};
  for (int Each = 0; Each < Nodes; ++Each) {
    Listeners.emplace_back(Each < NearNodes);
    Listeners.back().called(Now);
  }
  int Told = 0;
  for (int Step = 0; Step < 100; ++Step, Now += Millis(10)) {
    const Routing::ServerLoad &Load = Step % 2 == 0 ? Full : Free;
    LoadListeners Among;
    for (const LoadSharing &Each : Listeners)
      Each.countIn(Among, Now);
    BOOST_TEST(Among.Near == NearNodes);
    for (LoadSharing &Each : Listeners)
      if (Each.isDue(Load, Among, Now)) {
        Each.told(Load, Now);
        ++Told;
      }
  }
  BOOST_TEST(Told <= 300);
  BOOST_TEST(Told >= 150);
}

BOOST_AUTO_TEST_SUITE_END()
