#include <boost/test/unit_test.hpp>

#include "Membership/AnnouncementFilter.h"
#include "Membership/DirectoryBootstrap.h"
#include "Membership/LoadReportScheduler.h"

BOOST_AUTO_TEST_SUITE(Joining)

namespace {

using namespace Membership;
using Common::Millis;
using Common::ResultCode;

Announcement announcement(const std::string &Server, Millis StartTime,
                          std::int64_t Sequence, bool Leaving = false) {
  Announcement Result;
  Result.Server = {"s", Server, 6, Leaving};
  Result.StartTime = Common::WallTime(StartTime);
  Result.Sequence = Sequence;
  return Result;
}

Departure departure(const std::string &Server, std::optional<Millis> StartTime,
                    Millis ReceivedAt = Millis(20)) {
  Departure Result{Server, std::nullopt, Common::WallTime(ReceivedAt)};
  if (StartTime)
    Result.StartTime = Common::WallTime(*StartTime);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(RejectsAnnouncementsOutOfOrder) {
  AnnouncementFilter Filter;
  BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(5), 2)) ==
              ResultCode::Ok));
  BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(5), 1)) ==
              ResultCode::HeartbeatStale));
  BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(5), 3)) ==
              ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(StaysLeftUntilTheNextIncarnation) {
  AnnouncementFilter Filter;
  Filter.handleAnnouncement(announcement("a", Millis(5), 1));
  Filter.handleAnnouncement(announcement("a", Millis(5), 2, true));
  BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(5), 3)) ==
              ResultCode::HeartbeatStale));
  // A new incarnation of the same name starts with new sequence numbers.
  BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(9), 0)) ==
              ResultCode::Ok));
  BOOST_TEST(Filter.handleDeparture(departure("a", Millis(9))));
  BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(9), 1)) ==
              ResultCode::HeartbeatStale));
  BOOST_TEST(!Filter.handleDeparture(departure("b", Millis(9))));
}

// A restarted node may receive the departure of a server first, and a delayed
// heartbeat of the same incarnation after it.
BOOST_AUTO_TEST_CASE(RemembersTheDepartureOfAnUnknownServer) {
  for (const auto &StartTime :
       {std::optional(Millis(5)), std::optional<Millis>()}) {
    AnnouncementFilter Filter;
    BOOST_TEST(!Filter.handleDeparture(departure("a", StartTime)));
    BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(5), 7)) ==
                ResultCode::HeartbeatStale));
    BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(30), 0)) ==
                ResultCode::Ok));
  }
}

// The directory and the other nodes may know different departures. The later
// one is that of the server which ran last.
BOOST_AUTO_TEST_CASE(ARestartedNodeAdoptsTheLaterDeparture) {
  const DepartedServer First{"a", Common::WallTime(Millis(5)),
                             Common::WallTime(Millis(20))};
  const DepartedServer Last{"b", Common::WallTime(Millis(30)),
                            Common::WallTime(Millis(40))};
  AnnouncementFilter Filter;
  BOOST_TEST(!Filter.adoptDeparture(First));
  BOOST_TEST(!Filter.adoptDeparture(Last));
  BOOST_TEST(!Filter.adoptDeparture(First));
  BOOST_TEST((Filter.handleAnnouncement(announcement("b", Millis(30), 7)) ==
              ResultCode::HeartbeatStale));
  BOOST_TEST((Filter.handleAnnouncement(announcement("b", Millis(50), 1)) ==
              ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(IgnoresTheDepartureOfAnEarlierIncarnation) {
  AnnouncementFilter Filter;
  Filter.handleAnnouncement(announcement("a", Millis(9), 1));
  BOOST_TEST(!Filter.handleDeparture(departure("a", Millis(5))));
  BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(9), 2)) ==
              ResultCode::Ok));
  BOOST_TEST(!Filter.handleDeparture(departure("old", Millis(5))));
  BOOST_TEST((Filter.handleAnnouncement(announcement("a", Millis(9), 3)) ==
              ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(IgnoresAnEarlierServerAtTheSameAddress) {
  AnnouncementFilter Filter;
  Filter.handleAnnouncement(announcement("new", Millis(9), 1));
  BOOST_TEST((Filter.handleAnnouncement(announcement("old", Millis(5), 70)) ==
              ResultCode::HeartbeatStale));
}

BOOST_AUTO_TEST_CASE(AnnouncesBeforeItLists) {
  DirectoryBootstrap Bootstrap("here", 1);
  Common::SteadyTime Now{Millis(1000)};
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::Announce));
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::None));
  Bootstrap.onAnnounced(true, Now);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::List));
  const auto Seeds = Bootstrap.onListed(
      true, {{"a", "here", {"1", 1}}, {"b", "there", {"2", 2}}}, Now);
  BOOST_TEST(Seeds.Local.size() == 1U);
  BOOST_TEST(Seeds.Remote.size() == 1U);
  Bootstrap.setLiveMembers(3);
  Now += Millis(60'000);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::None));
}

BOOST_AUTO_TEST_CASE(RetriesWhileTheDirectoryFailsAndWhenAlone) {
  DirectoryBootstrap Bootstrap("here", 1);
  Common::SteadyTime Now{Millis(1000)};
  int Calls = 0;
  for (int Step = 0; Step < 100; ++Step, Now += Millis(100))
    if (Bootstrap.nextStep(Now) == DirectoryStep::Announce) {
      ++Calls;
      Bootstrap.onAnnounced(false, Now);
    }
  BOOST_TEST(Calls >= 3);
  BOOST_TEST(Calls <= 15);
  Now += Millis(10'000);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::Announce));
  Bootstrap.onAnnounced(true, Now);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::List));
  Bootstrap.onListed(true, {}, Now);
  Bootstrap.setLiveMembers(2);
  Now += Millis(10'000);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::None));
  Bootstrap.setLiveMembers(1);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::List));
}

// Guards against a node that never lists the directory. All nodes started at
// the same time, the first announcement of one failed, and a node of another
// data centre found it before the second. Without a list it knew no server of
// three services for 16 seconds.
BOOST_AUTO_TEST_CASE(ListsEvenWhenFoundBeforeItsAnnouncement) {
  DirectoryBootstrap Bootstrap("here", 1);
  Common::SteadyTime Now{Millis(1000)};
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::Announce));
  Bootstrap.onAnnounced(false, Now);
  Bootstrap.setLiveMembers(2);
  Now += Millis(1000);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::Announce));
  Bootstrap.onAnnounced(true, Now);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::List));
  // A failed list request is repeated.
  Bootstrap.onListed(false, {}, Now);
  Now += Millis(1000);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::List));
}

// Guards against nodes that never meet: the directory lost the entries of those
// that had joined, and others started afterwards.
BOOST_AUTO_TEST_CASE(AnnouncesAndListsAgainWhenTheDirectoryLostEntries) {
  DirectoryBootstrap Bootstrap("here", 1);
  Common::SteadyTime Now{Millis(1000)};
  Bootstrap.nextStep(Now);
  Bootstrap.onAnnounced(true, Now);
  Bootstrap.nextStep(Now);
  Bootstrap.onListed(true, {}, Now);
  Bootstrap.setLiveMembers(2);
  Now += Millis(1000);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::None));
  Bootstrap.restart(Now);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::Announce));
  Bootstrap.onAnnounced(true, Now);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::List));
  BOOST_TEST(
      Bootstrap.onListed(true, {{"a", "here", {"1", 1}}}, Now).Local.size() ==
      1U);
  Now += Millis(60'000);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::None));
}

// Of two nodes, one finds the other because each lists after its announcement.
BOOST_AUTO_TEST_CASE(AListOfBeforeTheLossDoesNotCount) {
  DirectoryBootstrap Bootstrap("here", 1);
  Common::SteadyTime Now{Millis(1000)};
  Bootstrap.nextStep(Now);
  Bootstrap.onAnnounced(true, Now);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::List));
  Bootstrap.restart(Now);
  Bootstrap.onListed(true, {{"a", "here", {"1", 1}}}, Now);
  Bootstrap.setLiveMembers(2);
  Now += Millis(1000);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::Announce));
  Bootstrap.onAnnounced(true, Now);
  BOOST_TEST((Bootstrap.nextStep(Now) == DirectoryStep::List));
}

BOOST_AUTO_TEST_CASE(ReportsLoadWhenFreeCapacityChanges) {
  LoadReportScheduler Scheduler(true);
  const LoadSubscribers FewSubscribers{.Local = 1, .Remote = 0};
  Common::SteadyTime Now{Millis(1000)};
  const Routing::ServerLoad Full{.Queued = 3, .BusySlots = 6, .Slots = 6};
  const Routing::ServerLoad Available{.Queued = 0, .BusySlots = 1, .Slots = 6};
  const Routing::ServerLoad Idle{.Queued = 0, .BusySlots = 0, .Slots = 6};
  BOOST_TEST(!Scheduler.isDue(Full, FewSubscribers, Now));
  Scheduler.onCall(Now);
  Scheduler.onLoadSent(Full, Now);
  BOOST_TEST(!Scheduler.isDue(Available, FewSubscribers, Now));
  Now += LoadReportScheduler::LocalInterval;
  BOOST_TEST(!Scheduler.isDue(Full, FewSubscribers, Now));
  BOOST_TEST(Scheduler.isDue(Available, FewSubscribers, Now));
  Scheduler.onLoadSent(Available, Now);
  Now += LoadReportScheduler::LocalInterval;
  // Two loads with ample free slots are on the same level, so the second is not
  // reported.
  BOOST_TEST(!Scheduler.isDue(Idle, FewSubscribers, Now));
  Now += LoadReportScheduler::SubscriptionTime;
  BOOST_TEST(!Scheduler.isDue(Full, FewSubscribers, Now));
}

// Load pattern: 60 caller-side nodes call one server, whose free capacity
// appears and disappears at each call.
BOOST_AUTO_TEST_CASE(BoundsTheTotalReportRateForManyCallers) {
  constexpr int Nodes = 60;
  constexpr int LocalNodes = 15;
  const Routing::ServerLoad Full{.Queued = 3, .BusySlots = 6, .Slots = 6};
  const Routing::ServerLoad Available{.Queued = 0, .BusySlots = 1, .Slots = 6};
  std::vector<LoadReportScheduler> Schedulers;
  Common::SteadyTime Now{Millis(1000)};
  for (int I = 0; I < Nodes; ++I) {
    Schedulers.emplace_back(I < LocalNodes);
    Schedulers.back().onCall(Now);
  }
  int Reports = 0;
  for (int Step = 0; Step < 100; ++Step, Now += Millis(10)) {
    const Routing::ServerLoad &Load = Step % 2 == 0 ? Full : Available;
    LoadSubscribers Subscribers;
    for (const LoadReportScheduler &Scheduler : Schedulers)
      Scheduler.addTo(Subscribers, Now);
    BOOST_TEST(Subscribers.Local == LocalNodes);
    for (LoadReportScheduler &Scheduler : Schedulers)
      if (Scheduler.isDue(Load, Subscribers, Now)) {
        Scheduler.onLoadSent(Load, Now);
        ++Reports;
      }
  }
  BOOST_TEST(Reports <= 300);
  BOOST_TEST(Reports >= 150);
}

BOOST_AUTO_TEST_SUITE_END()
