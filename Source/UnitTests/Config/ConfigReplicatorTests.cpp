#include <algorithm>
#include <map>
#include <memory>

#include <boost/test/unit_test.hpp>

#include "Common/Hash.h"
#include "Config/ConfigReplicator.h"
#include "Config/ObjectSetBuilder.h"

BOOST_AUTO_TEST_SUITE(ConfigReplicators)

namespace {

using namespace Config;
using Common::Millis;

constexpr Millis Step{50};

Record proposal(const std::string &Id, Version Base, const std::string &Name) {
  Record Result;
  Result.Id = Id;
  Result.Base = Base;
  Result.SetText = "[service common]\n[service " + Name + "]\n";
  return Result;
}

// Nodes in two data centres with a log, in virtual time. What a node sends
// arrives one step later; cut nodes neither send nor hear.
class Mesh {
public:
  struct Node {
    std::string DataCentre;
    std::unique_ptr<ConfigReplicator> Tested;
    std::vector<Version> InForce;
    bool Reads = false;
    bool Cut = false;
    bool LogCut = false;
    int Checkpoints = 0;
    int SetsSent = 0;
    int DeltasSent = 0;
  };

  void add(const std::string &Name, const std::string &DataCentre,
           std::size_t MaxFlights = 32) {
    ReplicationOptions Options;
    Options.Node = Name;
    Options.DataCentre = DataCentre;
    Options.MaxFlights = MaxFlights;
    Options.Seed = Common::hashOf(Name);
    Nodes[Name].DataCentre = DataCentre;
    Nodes[Name].Tested = std::make_unique<ConfigReplicator>(Options, Now);
  }

  void run(Common::Duration Length) {
    for (const auto End = Now + Length; Now < End; Now += Step)
      step();
  }

  Version publish(const std::string &Name) {
    const Version Base = Log.empty() ? 0 : static_cast<Version>(Log.size());
    Log.push_back(proposal("id-" + Name, Base, Name));
    return static_cast<Version>(Log.size());
  }

  std::string readerOf(const std::string &DataCentre) {
    for (auto &[Name, Each] : Nodes)
      if (Each.DataCentre == DataCentre && Each.Reads && !Each.Cut)
        return Name;
    return "";
  }
  int readers(const std::string &DataCentre) {
    return static_cast<int>(
        std::count_if(Nodes.begin(), Nodes.end(), [&](const auto &Each) {
          return Each.second.DataCentre == DataCentre && Each.second.Reads;
        }));
  }
  Version versionOf(const std::string &Name) {
    const auto &InForce = Nodes[Name].InForce;
    return InForce.empty() ? 0 : InForce.back();
  }
  bool allAt(Version Wanted) {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Each) {
      return Each.second.Cut || (!Each.second.InForce.empty() &&
                                 Each.second.InForce.back() == Wanted);
    });
  }

  std::map<std::string, Node> Nodes;
  std::vector<Record> Log;
  bool LogUp = true;
  Common::SteadyTime Now{std::chrono::hours(1)};

private:
  struct Parcel {
    std::string From;
    std::string To;
    ReplicationMessage Content;
  };

  void step() {
    std::vector<Parcel> Arriving;
    Arriving.swap(Posted);
    for (const Parcel &Each : Arriving)
      deliver(Each);
    for (auto &[Name, Each] : Nodes) {
      if (Each.Cut)
        continue;
      act(Name, Each.Tested->setPeers(peersOf(Name), Now));
      act(Name, Each.Tested->tick(Now));
      if (Each.Reads)
        readLog(Name, Each);
    }
  }

  std::vector<ReplicationPeer> peersOf(const std::string &Self) {
    std::vector<ReplicationPeer> Result;
    for (auto &[Name, Each] : Nodes)
      if (!Each.Cut && Name != Self)
        Result.push_back({Name, Each.DataCentre, Name, versionOf(Name)});
    return Result;
  }

  void readLog(const std::string &Name, Node &Each) {
    if (!LogUp || Each.LogCut) {
      Each.Tested->logFailed();
      return;
    }
    for (auto At = Each.Tested->history().lastOffset();
         At < static_cast<Version>(Log.size()); ++At) {
      std::optional<RecordResult> Judged;
      act(Name, Each.Tested->record(At + 1, Log[At], Judged, Now));
    }
    act(Name, Each.Tested->logAnswered(true, Now));
  }

  void deliver(const Parcel &Each) {
    Node &Target = Nodes[Each.To];
    if (Target.Cut || Nodes[Each.From].Cut)
      return;
    // The link is the index of the sender, for the answer.
    const auto Link = static_cast<ReplicationLink>(
        std::distance(Nodes.begin(), Nodes.find(Each.From)));
    act(Each.To, Target.Tested->take(Each.Content, Link, Now));
  }

  void act(const std::string &Name, const ReplicationActions &Actions) {
    for (const ReplicationAction &Each : Actions)
      std::visit([&](const auto &Part) { perform(Name, Part); }, Each);
  }
  void perform(const std::string &Name, const StartReading &) {
    Nodes[Name].Reads = true;
  }
  void perform(const std::string &Name, const StopReading &) {
    Nodes[Name].Reads = false;
  }
  void perform(const std::string &Name, const InstallSet &Part) {
    Node &Own = Nodes[Name];
    BOOST_REQUIRE(Part.Newest.Number > versionOf(Name));
    Own.InForce.push_back(Part.Newest.Number);
  }
  void perform(const std::string &Name, const SendToPeer &Part) {
    post(Name, Part.Address, Part.Content);
  }
  void perform(const std::string &Name, const AnswerPeer &Part) {
    post(Name, std::next(Nodes.begin(), static_cast<long>(Part.Link))->first,
         Part.Content);
  }
  void perform(const std::string &Name, const WriteCheckpoint &) {
    ++Nodes[Name].Checkpoints;
  }
  void perform(const std::string &, const ReportRejectedSnapshot &) {}

  void post(const std::string &From, const std::string &To,
            const ReplicationMessage &Content) {
    if (const auto *Set = std::get_if<SetSnapshot>(&Content)) {
      ++Nodes[From].SetsSent;
      Nodes[From].DeltasSent += Set->Base == 0 ? 0 : 1;
    }
    Posted.push_back({From, To, Content});
  }

  std::vector<Parcel> Posted;
};

Mesh meshOf(int PerCentre) {
  Mesh Result;
  for (int I = 0; I < PerCentre; ++I) {
    Result.add("l" + std::to_string(I), "leicester");
    Result.add("d" + std::to_string(I), "derby");
  }
  return Result;
}

ConfigReplicator loneNode() {
  ReplicationOptions Options;
  Options.Node = "a";
  Options.DataCentre = "x";
  return ConfigReplicator(Options, Common::SteadyTime());
}

SetSnapshot snapshot(Version Number, const std::string &Text) {
  SetSnapshot Result;
  Result.Node = "b";
  Result.Number = Number;
  Result.Content.Changed = Text;
  Result.Hash = Common::hashOf(Text);
  return Result;
}

Common::ResultCode refusalIn(const ReplicationActions &Actions) {
  for (const ReplicationAction &Each : Actions)
    if (const auto *Refused = std::get_if<ReportRejectedSnapshot>(&Each))
      return Refused->Code;
  return Common::ResultCode::Ok;
}

} // namespace

BOOST_AUTO_TEST_CASE(OneNodeOfEachDataCentreReadsAndPushes) {
  Mesh Tested = meshOf(6);
  const Version First = Tested.publish("one");
  Tested.run(Millis(4000));
  BOOST_TEST(Tested.allAt(First));
  BOOST_TEST(Tested.readers("leicester") == 1);
  BOOST_TEST(Tested.readers("derby") == 1);
  // A push: well before a node that is behind would ask.
  const Version Second = Tested.publish("two");
  Tested.run(Millis(200));
  BOOST_TEST(Tested.allAt(Second));
  BOOST_TEST(Tested.Nodes[Tested.readerOf("derby")].DeltasSent >= 5);
}

BOOST_AUTO_TEST_CASE(PushesOnceSettledAndAgainstWhatWasAcknowledged) {
  const Common::SteadyTime Begin;
  int Readers = 0;
  for (const char *Other : {"b", "c", "d", "e", "f", "g"}) {
    ConfigReplicator Tested = loneNode();
    Tested.setPeers({{Other, "x", Other, 0}}, Begin + Millis(2100));
    if (!Tested.isReading())
      continue;
    ++Readers;
    // The base of the set that is pushed, if one is.
    const auto Pushed = [&](Version At, Millis After) {
      std::optional<RecordResult> Judged;
      std::optional<Version> Base;
      for (const auto &Each : Tested.record(
               At, proposal(std::to_string(At), At - 1, std::to_string(At)),
               Judged, Begin + After))
        if (const auto *Sent = std::get_if<SendToPeer>(&Each))
          if (const auto *Set = std::get_if<SetSnapshot>(&Sent->Content))
            Base = Set->Base;
      return Base;
    };
    // Nodes that start together must not all push.
    BOOST_TEST(!Pushed(1, Millis(2200)).has_value());
    BOOST_TEST(Pushed(2, Millis(3200)).value() == 0);
    // The table of members still shows version 0.
    Tested.take(HeldVersion{Other, 2, false}, 1, Begin + Millis(3250));
    Tested.setPeers({{Other, "x", Other, 0}}, Begin + Millis(3300));
    BOOST_TEST(Pushed(3, Millis(3400)).value() == 2);
  }
  BOOST_TEST(Readers > 0);
}

BOOST_AUTO_TEST_CASE(ALargeDataCentreIsServedWithFewFlights) {
  Mesh Tested = meshOf(80);
  Tested.publish("one");
  Tested.run(Millis(6000));
  const Version Second = Tested.publish("two");
  Tested.run(Millis(700));
  BOOST_TEST(Tested.allAt(Second));
}

BOOST_AUTO_TEST_CASE(ADeadReaderIsReplacedAndItsSpreadRepaired) {
  Mesh Tested = meshOf(5);
  Tested.publish("one");
  Tested.run(Millis(4000));
  Tested.Nodes[Tested.readerOf("derby")].Cut = true;
  const Version Second = Tested.publish("two");
  Tested.run(Millis(1000));
  BOOST_TEST(Tested.allAt(Second));
  BOOST_TEST(!Tested.readerOf("derby").empty());
}

BOOST_AUTO_TEST_CASE(AReaderCutOffFromTheLogIsReplacedByRankAndDelay) {
  Mesh Tested = meshOf(5);
  Tested.publish("one");
  Tested.run(Millis(4000));
  Tested.Nodes[Tested.readerOf("derby")].LogCut = true;
  // The other data centre is cut off too, so that it can't help.
  for (auto &[Name, Each] : Tested.Nodes)
    Each.Cut = Each.DataCentre == "leicester";
  const Version Second = Tested.publish("two");
  Tested.run(Millis(4500));
  BOOST_TEST(Tested.allAt(Second));
  BOOST_TEST(Tested.readers("derby") == 2);
}

BOOST_AUTO_TEST_CASE(ACutDataCentreKeepsItsVersionAndANewNodeGetsItFromPeers) {
  Mesh Tested = meshOf(4);
  const Version First = Tested.publish("one");
  Tested.run(Millis(4000));
  for (auto &[Name, Each] : Tested.Nodes)
    Each.LogCut = Each.DataCentre == "derby";
  Tested.add("dnew", "derby");
  Tested.Nodes["dnew"].LogCut = true;
  Tested.run(Millis(3000));
  BOOST_TEST(Tested.versionOf("dnew") == First);
  // The other data centre still reaches the log; its sets come across.
  const Version Second = Tested.publish("two");
  Tested.run(Millis(6500));
  BOOST_TEST(Tested.allAt(Second));
}

BOOST_AUTO_TEST_CASE(AStartingNodeServesNothingOlderThanItsPeersOffer) {
  Mesh Tested = meshOf(4);
  Tested.publish("one");
  const Version Second = Tested.publish("two");
  Tested.run(Millis(4000));
  Tested.add("dnew", "derby");
  Tested.run(Millis(3000));
  BOOST_REQUIRE(!Tested.Nodes["dnew"].InForce.empty());
  BOOST_TEST(Tested.Nodes["dnew"].InForce.front() == Second);
}

BOOST_AUTO_TEST_CASE(AStartingNodeWaitsForTheHighestVersionOffered) {
  ConfigReplicator Tested = loneNode();
  const Common::SteadyTime Begin;
  const auto Installs = [](const ReplicationActions &Actions) {
    return std::any_of(Actions.begin(), Actions.end(), [](const auto &Each) {
      return std::holds_alternative<InstallSet>(Each);
    });
  };
  Tested.setPeers({{"b", "x", "b", 5}, {"c", "y", "c", 7}}, Begin);
  BOOST_TEST(!Installs(Tested.take(snapshot(5, "[service s]\n"), 1, Begin)));
  BOOST_TEST(!Installs(Tested.tick(Begin + Millis(2000))));
  BOOST_TEST(Installs(
      Tested.take(snapshot(7, "[service t]\n"), 1, Begin + Millis(2100))));
}

BOOST_AUTO_TEST_CASE(StartingNodesLearnTheirPeersBeforeTheyReadTheLog) {
  Mesh Tested = meshOf(8);
  Tested.run(Millis(950));
  BOOST_TEST(Tested.readers("derby") == 0);
  Tested.run(Millis(1200));
  BOOST_TEST(Tested.readers("derby") == 1);
}

BOOST_AUTO_TEST_CASE(LimitsSnapshotsInFlight) {
  ReplicationOptions Options;
  Options.Node = "a";
  Options.DataCentre = "x";
  Options.MaxFlights = 2;
  Common::SteadyTime Now;
  ConfigReplicator Tested(Options, Now);
  Tested.take(snapshot(5, "[service s]\n"), 1, Now);
  int Refused = 0;
  for (const char *Name : {"b", "c", "d"})
    for (const auto &Each : Tested.take(SetRequest{Name, 0, false}, 1, Now))
      if (const auto *Answer = std::get_if<AnswerPeer>(&Each))
        Refused += std::holds_alternative<RequestRefused>(Answer->Content);
  BOOST_TEST(Refused == 1);
}

BOOST_AUTO_TEST_CASE(NeverMovesBackAndTakesNothingUnsound) {
  ConfigReplicator Tested = loneNode();
  const Common::SteadyTime Now;
  Tested.take(snapshot(5, "[service s]\n"), 1, Now);
  BOOST_TEST(Tested.history().current().Number == 5);
  Tested.take(snapshot(4, "[service old]\n"), 1, Now);
  Tested.take(snapshot(5, "[service same]\n"), 1, Now);
  SetSnapshot WrongHash = snapshot(6, "[service t]\n");
  ++WrongHash.Hash;
  BOOST_TEST((refusalIn(Tested.take(WrongHash, 1, Now)) ==
              Common::ResultCode::PublishSetInvalid));
  BOOST_TEST((
      refusalIn(Tested.take(snapshot(7, "[service t]\nfallback = nowhere\n"), 1,
                            Now)) == Common::ResultCode::PublishSetInvalid));
  SetSnapshot NewRules = snapshot(8, "[newtype t]\n");
  NewRules.Level = CurrentRuleLevel + 1;
  BOOST_TEST((refusalIn(Tested.take(NewRules, 1, Now)) ==
              Common::ResultCode::RuleLevelUnknown));
  BOOST_TEST(Tested.history().current().Number == 5);
  BOOST_TEST(Tested.history().current().Set->services().contains("s"));
}

BOOST_AUTO_TEST_CASE(AsksForTheWholeSetWhenTheBaseIsUnknown) {
  ConfigReplicator Tested = loneNode();
  SetSnapshot Delta = snapshot(9, "[service t]\n");
  Delta.Base = 3;
  const ReplicationActions Actions =
      Tested.take(Delta, 7, Common::SteadyTime());
  const auto Asked =
      std::find_if(Actions.begin(), Actions.end(), [](const auto &Each) {
        const auto *Answer = std::get_if<AnswerPeer>(&Each);
        return Answer && std::holds_alternative<SetRequest>(Answer->Content);
      });
  BOOST_REQUIRE((Asked != Actions.end()));
  BOOST_TEST(std::get<AnswerPeer>(*Asked).Link == 7);
  BOOST_TEST(Tested.history().current().Number == 0);
}

BOOST_AUTO_TEST_CASE(CheckpointsAreRenewedWithoutPublishing) {
  Mesh Tested = meshOf(3);
  Tested.publish("one");
  Tested.run(std::chrono::minutes(25));
  int Sum = 0;
  for (auto &[Name, Each] : Tested.Nodes)
    Sum += Each.Checkpoints;
  // One data centre writes every ten minutes, the other every twenty.
  BOOST_TEST(Sum == 5);
}

BOOST_AUTO_TEST_SUITE_END()
