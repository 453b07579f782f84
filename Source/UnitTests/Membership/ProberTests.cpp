#include <boost/test/unit_test.hpp>

#include "Membership/Rendezvous.h"
#include "UnitTests/Membership/Fleet.h"

BOOST_AUTO_TEST_SUITE(Probers)

namespace {

using namespace Membership;
using UnitTests::Fleet;
using UnitTests::Millis;

// Time in which a change has to reach all members of a data centre.
constexpr Millis DisseminationLimit{2000};
constexpr int DataCentreSize = 160;

bool isGone(const Member *Recorded) { return !Recorded || !isLive(*Recorded); }
bool isAlive(const Member *Recorded) {
  return Recorded && Recorded->State == Health::Alive;
}
bool offers(const Member *Recorded) {
  return Recorded && !Recorded->Endpoints.empty();
}

Member member(const std::string &Name) {
  Member Result;
  Result.Node = Name;
  Result.DataCentre = "d";
  return Result;
}

// A data centre whose members all know each other, and whose network loses
// every twentieth datagram.
struct ConvergedFleet : Fleet {
  explicit ConvergedFleet(int Count, std::uint64_t Seed) : Fleet(Seed) {
    addMany(Count);
    const Millis Took = run(Millis(60'000), [&] { return allKnow(Count); });
    BOOST_TEST_MESSAGE("simultaneous start of "
                       << Count << " nodes: " << Took.count() << " ms");
    BOOST_REQUIRE(allKnow(Count));
    run(Millis(5000));
    LossRate = 0.05;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(AChangeReachesTheDataCentreWithinTwoSeconds) {
  for (const int Count : {40, 80, DataCentreSize}) {
    ConvergedFleet Nodes(Count, 11);
    const std::string Subject = Fleet::name(5);
    Nodes[Subject].announce({"s", "server", 6, false});
    const auto Announced = Nodes.run(
        DisseminationLimit, [&] { return Nodes.allRecord(Subject, offers); });
    BOOST_TEST(Nodes.allRecord(Subject, offers));
    Nodes[Subject].leave();
    const auto Left = Nodes.run(
        DisseminationLimit, [&] { return Nodes.allRecord(Subject, isGone); });
    BOOST_TEST(Nodes.allRecord(Subject, isGone));
    Nodes.Crashed.insert(Subject);
    const std::string Victim = Fleet::name(7);
    Nodes.Crashed.insert(Victim);
    const auto AnyKnows = [&] {
      return !Nodes.allRecord(
          Victim, [](const Member *Recorded) { return !isGone(Recorded); });
    };
    const auto Found = Nodes.run(Millis(20'000), AnyKnows);
    const auto Disseminated = Nodes.run(
        DisseminationLimit, [&] { return Nodes.allRecord(Victim, isGone); });
    BOOST_TEST(Nodes.allRecord(Victim, isGone));
    BOOST_TEST_MESSAGE("nodes " << Count << ": new server " << Announced.count()
                                << " ms, leaving " << Left.count()
                                << " ms, dead found after " << Found.count()
                                << " ms and known to all "
                                << Disseminated.count() << " ms later");
  }
}

BOOST_AUTO_TEST_CASE(TrafficPerNodeDoesNotGrowWithTheFleet) {
  const auto BytesPerSecond = [](int Count) {
    ConvergedFleet Nodes(Count, 12);
    const std::int64_t Before = Nodes.Bytes;
    Nodes.run(Millis(20'000));
    const auto Rate = (Nodes.Bytes - Before) / Count / 20;
    BOOST_TEST_MESSAGE("nodes " << Count << ": " << Rate << " B/s a node");
    return Rate;
  };
  const auto Small = BytesPerSecond(20);
  const auto Large = BytesPerSecond(DataCentreSize);
  BOOST_TEST(Large < Small * 3 / 2);
  BOOST_TEST(Large < 1500);
}

BOOST_AUTO_TEST_CASE(PacketLossAloneMarksNoMemberDead) {
  ConvergedFleet Nodes(DataCentreSize, 13);
  int Lowest = DataCentreSize;
  Nodes.run(Millis(30'000), [&] {
    Lowest = std::min(Lowest, Nodes.liveCount(Fleet::name(3)));
    return false;
  });
  BOOST_TEST(Lowest == DataCentreSize);
}

BOOST_AUTO_TEST_CASE(ASimultaneousRestartSendsABoundedNumberOfDatagrams) {
  ConvergedFleet Nodes(DataCentreSize, 14);
  const std::int64_t Before = Nodes.Datagrams;
  Nodes.addMany(DataCentreSize);
  const auto Took =
      Nodes.run(Millis(30'000), [&] { return Nodes.allKnow(DataCentreSize); });
  const auto Sent = (Nodes.Datagrams - Before) / DataCentreSize;
  BOOST_TEST_MESSAGE("restart: " << Took.count() << " ms, " << Sent
                                 << " datagrams a node");
  BOOST_TEST(Nodes.allKnow(DataCentreSize));
  BOOST_TEST(Took < Millis(5000));
  BOOST_TEST(Sent < 250);
  BOOST_TEST(Nodes.LargestDatagram <= MaxDatagramBytes);
}

BOOST_AUTO_TEST_CASE(AResumedNodeMarksNoMemberDeadAndRefutesItsOwnDeath) {
  ConvergedFleet Nodes(40, 15);
  const std::string Subject = Fleet::name(9);
  Nodes.Paused.insert(Subject);
  Nodes.run(Millis(6000));
  BOOST_TEST(Nodes.allRecord(Subject, isGone));
  Nodes.Paused.erase(Subject);
  int Lowest = 40;
  const auto Took = Nodes.run(DisseminationLimit, [&] {
    Lowest = std::min(Lowest, Nodes.liveCount(Subject));
    return Nodes.allRecord(Subject, isAlive);
  });
  BOOST_TEST_MESSAGE("refuted after " << Took.count() << " ms");
  BOOST_TEST(Nodes.allRecord(Subject, isAlive));
  BOOST_TEST(Lowest == 40);
}

BOOST_AUTO_TEST_CASE(APauseDoesNotExpirePendingTimeouts) {
  Common::SteadyTime Now{Millis(1000)};
  Member Self = member("a");
  Self.Incarnation = 5;
  Prober PausedProber(Self,
                      {.TickInterval = Millis(100),
                       .ProbeInterval = Millis(400),
                       .ProbeTimeout = Millis(150),
                       .SuspicionTimeout = Millis(800),
                       .Seeds = {}},
                      1);
  PausedProber.tick(Now);
  Datagram Received;
  Received.From = "b";
  Received.DataCentre = "d";
  Received.Body = Gossip{};
  Received.Updates = {member("b"), member("c"), member("e")};
  Received.Updates[2].State = Health::Suspect;
  PausedProber.handleDatagram(Received, Now);
  for (int I = 0; I < 6; ++I)
    PausedProber.tick(Now += Millis(100));
  PausedProber.tick(Now += Millis(6000));
  BOOST_TEST(isAlive(PausedProber.table().find("b")));
  BOOST_TEST(isAlive(PausedProber.table().find("c")));
  BOOST_TEST(!isGone(PausedProber.table().find("e")));
  BOOST_TEST(PausedProber.table().self().Incarnation == 6);
}

BOOST_AUTO_TEST_CASE(PartitionedHalvesFindEachOther) {
  ConvergedFleet Nodes(40, 16);
  const auto Half = [](const std::string &Name) {
    return Name < Fleet::name(20);
  };
  Nodes.IsCut = [&](const auto &A, const auto &B) {
    return Half(A) != Half(B);
  };
  Nodes.run(Millis(120'000));
  BOOST_TEST(Nodes.allKnow(20));
  Nodes.IsCut = nullptr;
  const auto Took =
      Nodes.run(Millis(30'000), [&] { return Nodes.allKnow(40); });
  BOOST_TEST_MESSAGE("merged after " << Took.count() << " ms");
  BOOST_TEST(Nodes.allKnow(40));
}

// Guards against two groups that never meet: the second one started while the
// directory lacked the entries of the first, and joined within itself.
BOOST_AUTO_TEST_CASE(GroupsMeetThroughAPeerThatTheDirectoryListsLater) {
  Fleet Nodes(11);
  Nodes.addMany(10, "d");
  for (int I = 100; I < 110; ++I)
    Nodes.add(Fleet::name(I), "d", {{Fleet::name(100), 7}});
  Nodes.run(Millis(10'000));
  BOOST_REQUIRE(Nodes.allKnow(10));
  const SocketAddress Gone{Fleet::name(50), 7};
  Nodes[Fleet::name(3)].addSeeds({{Gone, {Fleet::name(104), 7}}, {}},
                                 Nodes.now());
  Nodes.run(Millis(15'000), [&] { return Nodes.allKnow(20); });
  BOOST_TEST(Nodes.allKnow(20));
}

// Guards against nodes that never join their own data centre. With one seed in
// each data centre, a node that happened to ask only the remote seed learned of
// no local member, and no local member learned of it.
BOOST_AUTO_TEST_CASE(NodesFindTheirLocalMembersWhicheverSeedTheyAskFirst) {
  const std::vector<SocketAddress> Seeds = {{Fleet::name(0, "a"), 7},
                                            {Fleet::name(0, "b"), 7}};
  const std::vector<std::string> Centres = {"a", "b"};
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    Fleet Nodes(Seed);
    for (const std::string &Centre : Centres)
      for (int I = 0; I < 3; ++I)
        Nodes.add(Fleet::name(I, Centre), Centre, Seeds);
    for (const std::string &Centre : Centres)
      for (int I = 0; I < 3; ++I)
        Nodes[Fleet::name(I, Centre)].announce(
            {"s", Fleet::name(I, Centre), 6, false});
    const auto Servers = [&](const std::string &Node) {
      const auto View = Nodes[Node].table().servers();
      const auto Found = View->ByService.find("s");
      return Found == View->ByService.end() ? 0 : Found->second.size();
    };
    Nodes.run(Millis(15'000));
    for (const std::string &Centre : Centres)
      for (int I = 0; I < 3; ++I)
        BOOST_TEST(Servers(Fleet::name(I, Centre)) == 6,
                   "seed " << Seed << ", " << Fleet::name(I, Centre));
  }
}

BOOST_AUTO_TEST_CASE(DataCentresLearnABoundedNumberOfRemoteEndpoints) {
  Fleet Nodes(17);
  Nodes.addMany(30, "a");
  for (int I = 0; I < 30; ++I)
    Nodes.add(Fleet::name(I, "b"), "b",
              {{Fleet::name(0, "a"), 7}, {Fleet::name(0, "b"), 7}});
  for (int I = 0; I < 30; ++I)
    Nodes[Fleet::name(I, "b")].announce(
        {"s", "server-" + std::to_string(I), 6, false});
  Nodes.run(Millis(20'000));
  const auto KnownServers = [&](int Node) {
    const auto View = Nodes[Fleet::name(Node, "a")].table().servers();
    const auto Found = View->ByService.find("s");
    return Found == View->ByService.end() ? 0 : Found->second.size();
  };
  for (int I = 0; I < 30; ++I) {
    // A representative's own endpoint may be sent in addition to the bound.
    BOOST_TEST(KnownServers(I) >= EndpointsPerService);
    BOOST_TEST(KnownServers(I) <=
               EndpointsPerService + RepresentativesPerDataCentre);
  }
  const std::string Leaver = Fleet::name(0, "b");
  Nodes[Leaver].leave();
  const auto Took =
      Nodes.run(Millis(3000), [&] { return Nodes.allRecord(Leaver, isGone); });
  BOOST_TEST_MESSAGE("other data centre: " << Took.count() << " ms, endpoints "
                                           << KnownServers(3));
  BOOST_TEST(Nodes.allRecord(Leaver, isGone));
  Nodes.Crashed.insert(Leaver);

  // Both representatives of b, and one more node, crash during a partition.
  Nodes.IsCut = [](const auto &A, const auto &B) { return A[0] != B[0]; };
  std::vector<std::string> Victims = {Fleet::name(9, "b")};
  for (const Member *Representative :
       representatives(Nodes[Fleet::name(1, "b")].table().others(), "b"))
    Victims.push_back(Representative->Node);
  Nodes.Crashed.insert(Victims.begin(), Victims.end());
  Nodes.run(Millis(600'000));
  Nodes.IsCut = nullptr;
  const auto AllGone = [&] {
    return std::all_of(Victims.begin(), Victims.end(), [&](const auto &Victim) {
      return Nodes.allRecord(Victim, isGone);
    });
  };
  const auto Healed = Nodes.run(Millis(60'000), AllGone);
  BOOST_TEST_MESSAGE("after a partition of 600 s: " << Healed.count() << " ms");
  BOOST_TEST(AllGone());
}

// Guards against a slow start of restarted nodes: such a node knew no server of
// other data centres for up to seven seconds, and refused calls to them
// meanwhile.
BOOST_AUTO_TEST_CASE(ARestartedNodeSoonKnowsTheServersOfOtherDataCentres) {
  Fleet Nodes(11);
  for (const char *DataCentre : {"a", "b", "c"})
    Nodes.addMany(4, DataCentre);
  Nodes.run(Millis(500));
  for (const char *DataCentre : {"a", "b", "c"})
    for (int I = 0; I < 4; ++I) {
      const std::string Name = Fleet::name(I, DataCentre);
      Nodes[Name].announce(
          {std::string("s") + DataCentre, "of-" + Name, 6, false});
      for (const char *Other : {"a", "b", "c"})
        if (std::string(Other) != DataCentre)
          Nodes[Name].addSeeds({{}, {{Fleet::name(I, Other), 7}}}, Nodes.now());
    }
  Nodes.run(Millis(10'000));
  const std::string Restarted = Fleet::name(2, "a");
  Nodes.add(Restarted, "a", {});
  Nodes.run(Millis(200));
  Nodes[Restarted].addSeeds(
      {{{Fleet::name(0, "a"), 7}},
       {{Fleet::name(1, "b"), 7}, {Fleet::name(3, "c"), 7}}},
      Nodes.now());
  const auto Took = Nodes.run(Millis(5000), [&] {
    const auto Servers = Nodes[Restarted].table().servers();
    return Servers->ByService.contains("sb") &&
           Servers->ByService.at("sb").size() == 4 &&
           Servers->ByService.contains("sc") &&
           Servers->ByService.at("sc").size() == 4;
  });
  BOOST_TEST_MESSAGE("took " << Took.count() << " ms");
  BOOST_TEST((Took < Millis(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
