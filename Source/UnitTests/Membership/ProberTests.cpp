#include <boost/test/unit_test.hpp>

#include "Membership/Rendezvous.h"
#include "UnitTests/Membership/Fleet.h"

BOOST_AUTO_TEST_SUITE(Probers)

namespace {

using namespace Membership;
using UnitTests::Fleet;
using UnitTests::Millis;

constexpr Millis ReachLimit{2000};
constexpr int DataCentreSize = 160;

bool isGone(const Member *Held) { return !Held || !isLive(*Held); }
bool isAlive(const Member *Held) {
  return Held && Held->State == Health::Alive;
}
bool offers(const Member *Held) { return Held && !Held->Endpoints.empty(); }

Member member(const std::string &Name) {
  Member Result;
  Result.Node = Name;
  Result.DataCentre = "d";
  return Result;
}

// A settled data centre that loses every twentieth datagram.
struct Settled : Fleet {
  explicit Settled(int Count, std::uint64_t Seed) : Fleet(Seed) {
    addMany(Count);
    const Millis Took = run(Millis(60'000), [&] { return allKnow(Count); });
    BOOST_TEST_MESSAGE("herd of " << Count << ": " << Took.count() << " ms");
    BOOST_REQUIRE(allKnow(Count));
    run(Millis(5000));
    Loss = 0.05;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(AChangeReachesADataCentreWithinTwoSeconds) {
  for (const int Count : {40, 80, DataCentreSize}) {
    Settled Nodes(Count, 11);
    const std::string Subject = Fleet::name(5);
    Nodes[Subject].announce({"s", "server", 6, false});
    const auto Told =
        Nodes.run(ReachLimit, [&] { return Nodes.allHold(Subject, offers); });
    BOOST_TEST(Nodes.allHold(Subject, offers));
    Nodes[Subject].leave();
    const auto Left =
        Nodes.run(ReachLimit, [&] { return Nodes.allHold(Subject, isGone); });
    BOOST_TEST(Nodes.allHold(Subject, isGone));
    Nodes.Crashed.insert(Subject);
    const std::string Victim = Fleet::name(7);
    Nodes.Crashed.insert(Victim);
    const auto AnyKnows = [&] {
      return !Nodes.allHold(Victim, [](const Member *M) { return !isGone(M); });
    };
    const auto Found = Nodes.run(Millis(20'000), AnyKnows);
    const auto Spread =
        Nodes.run(ReachLimit, [&] { return Nodes.allHold(Victim, isGone); });
    BOOST_TEST(Nodes.allHold(Victim, isGone));
    BOOST_TEST_MESSAGE(
        "nodes " << Count << ": new server " << Told.count() << " ms, leaving "
                 << Left.count() << " ms, dead found after " << Found.count()
                 << " ms and known to all " << Spread.count() << " ms later");
  }
}

BOOST_AUTO_TEST_CASE(TheCostOfANodeDoesNotGrowWithTheFleet) {
  const auto BytesPerSecond = [](int Count) {
    Settled Nodes(Count, 12);
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

BOOST_AUTO_TEST_CASE(LossAloneKillsNobody) {
  Settled Nodes(DataCentreSize, 13);
  int Lowest = DataCentreSize;
  Nodes.run(Millis(30'000), [&] {
    Lowest = std::min(Lowest, Nodes.live(Fleet::name(3)));
    return false;
  });
  BOOST_TEST(Lowest == DataCentreSize);
}

BOOST_AUTO_TEST_CASE(AHerdThatRestartsAtOnceSendsABoundedNumberOfDatagrams) {
  Settled Nodes(DataCentreSize, 14);
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
  BOOST_TEST(Nodes.Largest <= MaxDatagramBytes);
}

BOOST_AUTO_TEST_CASE(AThawedNodeHoldsNobodyForDeadAndRefutesItsOwnDeath) {
  Settled Nodes(40, 15);
  const std::string Subject = Fleet::name(9);
  Nodes.Frozen.insert(Subject);
  Nodes.run(Millis(6000));
  BOOST_TEST(Nodes.allHold(Subject, isGone));
  Nodes.Frozen.erase(Subject);
  int Lowest = 40;
  const auto Took = Nodes.run(ReachLimit, [&] {
    Lowest = std::min(Lowest, Nodes.live(Subject));
    return Nodes.allHold(Subject, isAlive);
  });
  BOOST_TEST_MESSAGE("refuted after " << Took.count() << " ms");
  BOOST_TEST(Nodes.allHold(Subject, isAlive));
  BOOST_TEST(Lowest == 40);
}

BOOST_AUTO_TEST_CASE(ASleepEndsNoWaitThatBeganBefore) {
  Common::SteadyTime Now{Millis(1000)};
  Member Self = member("a");
  Self.Incarnation = 5;
  Prober Tested(Self,
                {.TickInterval = Millis(100),
                 .ProbeInterval = Millis(400),
                 .ProbeTimeout = Millis(150),
                 .SuspicionLimit = Millis(800),
                 .Seeds = {}},
                1);
  Tested.tick(Now);
  Datagram Heard;
  Heard.From = "b";
  Heard.DataCentre = "d";
  Heard.Body = Gossip{};
  Heard.Updates = {member("b"), member("c"), member("e")};
  Heard.Updates[2].State = Health::Suspect;
  Tested.take(Heard, Now);
  for (int I = 0; I < 6; ++I)
    Tested.tick(Now += Millis(100));
  Tested.tick(Now += Millis(6000));
  BOOST_TEST(isAlive(Tested.table().find("b")));
  BOOST_TEST(isAlive(Tested.table().find("c")));
  BOOST_TEST(!isGone(Tested.table().find("e")));
  BOOST_TEST(Tested.table().self().Incarnation == 6);
}

BOOST_AUTO_TEST_CASE(HalvesThatWereCutOffFindEachOther) {
  Settled Nodes(40, 16);
  const auto Half = [](const std::string &Name) {
    return Name < Fleet::name(20);
  };
  Nodes.Cut = [&](const auto &A, const auto &B) { return Half(A) != Half(B); };
  Nodes.run(Millis(120'000));
  BOOST_TEST(Nodes.allKnow(20));
  Nodes.Cut = nullptr;
  const auto Took =
      Nodes.run(Millis(30'000), [&] { return Nodes.allKnow(40); });
  BOOST_TEST_MESSAGE("healed after " << Took.count() << " ms");
  BOOST_TEST(Nodes.allKnow(40));
}

// With one seed in each data centre, a node that asked the other one's seed
// each time heard of no neighbour, and nobody heard of it.
BOOST_AUTO_TEST_CASE(NodesFindTheirNeighboursWhicheverSeedTheyAskFirst) {
  const std::vector<Place> Seeds = {{Fleet::name(0, "a"), 7},
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

BOOST_AUTO_TEST_CASE(DataCentresHearOfABoundedNumberOfEndpoints) {
  Fleet Nodes(17);
  Nodes.addMany(30, "a");
  for (int I = 0; I < 30; ++I)
    Nodes.add(Fleet::name(I, "b"), "b",
              {{Fleet::name(0, "a"), 7}, {Fleet::name(0, "b"), 7}});
  for (int I = 0; I < 30; ++I)
    Nodes[Fleet::name(I, "b")].announce(
        {"s", "server-" + std::to_string(I), 6, false});
  Nodes.run(Millis(20'000));
  const auto Heard = [&](int Node) {
    const auto View = Nodes[Fleet::name(Node, "a")].table().servers();
    const auto Found = View->ByService.find("s");
    return Found == View->ByService.end() ? 0 : Found->second.size();
  };
  for (int I = 0; I < 30; ++I) {
    // Besides, a representative's own endpoint may be outside the bound.
    BOOST_TEST(Heard(I) >= EndpointsPerService);
    BOOST_TEST(Heard(I) <= EndpointsPerService + RepresentativesPerDataCentre);
  }
  const std::string Leaver = Fleet::name(0, "b");
  Nodes[Leaver].leave();
  const auto Took =
      Nodes.run(Millis(3000), [&] { return Nodes.allHold(Leaver, isGone); });
  BOOST_TEST_MESSAGE("other data centre: " << Took.count() << " ms, endpoints "
                                           << Heard(3));
  BOOST_TEST(Nodes.allHold(Leaver, isGone));
  Nodes.Crashed.insert(Leaver);

  // Both representatives of b, and one more, die while the link is cut.
  Nodes.Cut = [](const auto &A, const auto &B) { return A[0] != B[0]; };
  std::vector<std::string> Victims = {Fleet::name(9, "b")};
  for (const Member *Each :
       representatives(Nodes[Fleet::name(1, "b")].table().others(), "b"))
    Victims.push_back(Each->Node);
  Nodes.Crashed.insert(Victims.begin(), Victims.end());
  Nodes.run(Millis(600'000));
  Nodes.Cut = nullptr;
  const auto AllGone = [&] {
    return std::all_of(Victims.begin(), Victims.end(), [&](const auto &Each) {
      return Nodes.allHold(Each, isGone);
    });
  };
  const auto Healed = Nodes.run(Millis(60'000), AllGone);
  BOOST_TEST_MESSAGE("after a cut of 600 s: " << Healed.count() << " ms");
  BOOST_TEST(AllGone());
}

// Found on a played day: a node that had been restarted knew no server of other
// data centres for up to seven seconds, and refused their calls meanwhile.
BOOST_AUTO_TEST_CASE(ARestartedNodeSoonKnowsTheServersOfOtherDataCentres) {
  Fleet Tested(11);
  for (const char *DataCentre : {"a", "b", "c"})
    Tested.addMany(4, DataCentre);
  Tested.run(Millis(500));
  for (const char *DataCentre : {"a", "b", "c"})
    for (int I = 0; I < 4; ++I) {
      const std::string Name = Fleet::name(I, DataCentre);
      Tested[Name].announce(
          {std::string("s") + DataCentre, "of-" + Name, 6, false});
      for (const char *Other : {"a", "b", "c"})
        if (std::string(Other) != DataCentre)
          Tested[Name].addSeeds({{}, {{Fleet::name(I, Other), 7}}},
                                Tested.now());
    }
  Tested.run(Millis(10'000));
  const std::string Restarted = Fleet::name(2, "a");
  Tested.add(Restarted, "a", {});
  Tested.run(Millis(200));
  Tested[Restarted].addSeeds(
      {{{Fleet::name(0, "a"), 7}},
       {{Fleet::name(1, "b"), 7}, {Fleet::name(3, "c"), 7}}},
      Tested.now());
  const auto Took = Tested.run(Millis(5000), [&] {
    const auto Servers = Tested[Restarted].table().servers();
    return Servers->ByService.contains("sb") &&
           Servers->ByService.at("sb").size() == 4 &&
           Servers->ByService.contains("sc") &&
           Servers->ByService.at("sc").size() == 4;
  });
  BOOST_TEST_MESSAGE("took " << Took.count() << " ms");
  BOOST_TEST((Took < Millis(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
