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

// Simulates a log and the nodes of several data centres in virtual time. A
// message arrives one step after it is sent. Isolated nodes neither send nor
// receive.
class Mesh {
public:
  struct Node {
    std::string DataCentre;
    std::unique_ptr<ConfigReplicator> Replicator;
    std::vector<Version> InForce;
    bool ReadsLog = false;
    bool Isolated = false;
    bool LogUnreachable = false;
    int Checkpoints = 0;
    int SetsSent = 0;
    int DeltasSent = 0;
  };

  void add(const std::string &Name, const std::string &DataCentre,
           std::size_t MaxTransfers = 32) {
    ReplicationOptions Options;
    Options.Node = Name;
    Options.DataCentre = DataCentre;
    Options.MaxTransfers = MaxTransfers;
    Options.Seed = Common::hashOf(Name);
    Nodes[Name].DataCentre = DataCentre;
    Nodes[Name].Replicator = std::make_unique<ConfigReplicator>(Options, Now);
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
    for (auto &[Name, Member] : Nodes)
      if (Member.DataCentre == DataCentre && Member.ReadsLog &&
          !Member.Isolated)
        return Name;
    return "";
  }
  int readers(const std::string &DataCentre) {
    return static_cast<int>(
        std::count_if(Nodes.begin(), Nodes.end(), [&](const auto &Entry) {
          return Entry.second.DataCentre == DataCentre && Entry.second.ReadsLog;
        }));
  }
  Version versionOf(const std::string &Name) {
    const auto &InForce = Nodes[Name].InForce;
    return InForce.empty() ? 0 : InForce.back();
  }
  bool allAt(Version Expected) {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Entry) {
      return Entry.second.Isolated || (!Entry.second.InForce.empty() &&
                                       Entry.second.InForce.back() == Expected);
    });
  }

  std::map<std::string, Node> Nodes;
  std::vector<Record> Log;
  bool LogAvailable = true;
  Common::SteadyTime Now{std::chrono::hours(1)};

private:
  struct Delivery {
    std::string From;
    std::string To;
    ReplicationMessage Message;
  };

  void step() {
    std::vector<Delivery> Arriving;
    Arriving.swap(InTransit);
    for (const Delivery &Arrival : Arriving)
      deliver(Arrival);
    for (auto &[Name, Member] : Nodes) {
      if (Member.Isolated)
        continue;
      performAll(Name, Member.Replicator->setPeers(peersOf(Name), Now));
      performAll(Name, Member.Replicator->tick(Now));
      if (Member.ReadsLog)
        readLog(Name, Member);
    }
  }

  std::vector<ReplicationPeer> peersOf(const std::string &Self) {
    std::vector<ReplicationPeer> Result;
    for (auto &[Name, Member] : Nodes)
      if (!Member.Isolated && Name != Self)
        Result.push_back({Name, Member.DataCentre, Name, versionOf(Name)});
    return Result;
  }

  void readLog(const std::string &Name, Node &Member) {
    if (!LogAvailable || Member.LogUnreachable) {
      Member.Replicator->handleLogFailure();
      return;
    }
    for (auto Offset = Member.Replicator->history().lastOffset();
         Offset < static_cast<Version>(Log.size()); ++Offset) {
      std::optional<RecordResult> Result;
      performAll(Name, Member.Replicator->handleRecord(Offset + 1, Log[Offset],
                                                       Result, Now));
    }
    performAll(Name, Member.Replicator->handleLogRead(true, Now));
  }

  void deliver(const Delivery &Arrival) {
    Node &Target = Nodes[Arrival.To];
    if (Target.Isolated || Nodes[Arrival.From].Isolated)
      return;
    // The link is the index of the sender, to which an answer is sent.
    const auto Link = static_cast<ReplicationLink>(
        std::distance(Nodes.begin(), Nodes.find(Arrival.From)));
    performAll(Arrival.To,
               Target.Replicator->handleMessage(Arrival.Message, Link, Now));
  }

  void performAll(const std::string &Name, const ReplicationActions &Actions) {
    for (const ReplicationAction &Action : Actions)
      std::visit([&](const auto &Alternative) { perform(Name, Alternative); },
                 Action);
  }
  void perform(const std::string &Name, const StartReading &) {
    Nodes[Name].ReadsLog = true;
  }
  void perform(const std::string &Name, const StopReading &) {
    Nodes[Name].ReadsLog = false;
  }
  void perform(const std::string &Name, const InstallSet &Action) {
    Node &Member = Nodes[Name];
    BOOST_REQUIRE(Action.Newest.SetVersion > versionOf(Name));
    Member.InForce.push_back(Action.Newest.SetVersion);
  }
  void perform(const std::string &Name, const SendToPeer &Action) {
    enqueue(Name, Action.Address, Action.Message);
  }
  void perform(const std::string &Name, const AnswerPeer &Action) {
    enqueue(Name,
            std::next(Nodes.begin(), static_cast<long>(Action.Link))->first,
            Action.Message);
  }
  void perform(const std::string &Name, const WriteCheckpoint &) {
    ++Nodes[Name].Checkpoints;
  }
  void perform(const std::string &, const ReportRejectedSnapshot &) {}

  void enqueue(const std::string &From, const std::string &To,
               const ReplicationMessage &Message) {
    if (const auto *Set = std::get_if<SetSnapshot>(&Message)) {
      ++Nodes[From].SetsSent;
      Nodes[From].DeltasSent += Set->Base == 0 ? 0 : 1;
    }
    InTransit.push_back({From, To, Message});
  }

  std::vector<Delivery> InTransit;
};

Mesh makeMesh(int NodesPerDataCentre) {
  Mesh Result;
  for (int I = 0; I < NodesPerDataCentre; ++I) {
    Result.add("l" + std::to_string(I), "leicester");
    Result.add("d" + std::to_string(I), "derby");
  }
  return Result;
}

ConfigReplicator makeSingleNode() {
  ReplicationOptions Options;
  Options.Node = "a";
  Options.DataCentre = "x";
  return ConfigReplicator(Options, Common::SteadyTime());
}

SetSnapshot snapshot(Version SetVersion, const std::string &Text) {
  SetSnapshot Result;
  Result.Node = "b";
  Result.SetVersion = SetVersion;
  Result.Content.Changed = Text;
  Result.Hash = Common::hashOf(Text);
  return Result;
}

Common::ResultCode rejectionCode(const ReplicationActions &Actions) {
  for (const ReplicationAction &Action : Actions)
    if (const auto *Rejected = std::get_if<ReportRejectedSnapshot>(&Action))
      return Rejected->Code;
  return Common::ResultCode::Ok;
}

} // namespace

BOOST_AUTO_TEST_CASE(OneNodePerDataCentreReadsAndPushes) {
  Mesh Cluster = makeMesh(6);
  const Version First = Cluster.publish("one");
  Cluster.run(Millis(4000));
  BOOST_TEST(Cluster.allAt(First));
  BOOST_TEST(Cluster.readers("leicester") == 1);
  BOOST_TEST(Cluster.readers("derby") == 1);
  // Only a push is this fast; a node that is behind would pull later.
  const Version Second = Cluster.publish("two");
  Cluster.run(Millis(200));
  BOOST_TEST(Cluster.allAt(Second));
  BOOST_TEST(Cluster.Nodes[Cluster.readerOf("derby")].DeltasSent >= 5);
}

BOOST_AUTO_TEST_CASE(PushesDeltasAgainstTheAcknowledgedVersion) {
  const Common::SteadyTime Start;
  int ReaderCount = 0;
  for (const char *Other : {"b", "c", "d", "e", "f", "g"}) {
    ConfigReplicator Replicator = makeSingleNode();
    Replicator.setPeers({{Other, "x", Other, 0}}, Start + Millis(2100));
    if (!Replicator.isReading())
      continue;
    ++ReaderCount;
    // Returns the base of the set that is pushed, or nothing without a push.
    const auto PushedBase = [&](Version Offset, Millis Delay) {
      std::optional<RecordResult> Result;
      std::optional<Version> Base;
      for (const auto &Action :
           Replicator.handleRecord(Offset,
                                   proposal(std::to_string(Offset), Offset - 1,
                                            std::to_string(Offset)),
                                   Result, Start + Delay))
        if (const auto *Sent = std::get_if<SendToPeer>(&Action))
          if (const auto *Set = std::get_if<SetSnapshot>(&Sent->Message))
            Base = Set->Base;
      return Base;
    };
    // A node that has just started must not push, because nodes that start
    // together may all be the reader for a short time.
    BOOST_TEST(!PushedBase(1, Millis(2200)).has_value());
    BOOST_TEST(PushedBase(2, Millis(3200)).value() == 0);
    // The membership table still has version 0.
    Replicator.handleMessage(HeldVersion{Other, 2, false}, 1,
                             Start + Millis(3250));
    Replicator.setPeers({{Other, "x", Other, 0}}, Start + Millis(3300));
    BOOST_TEST(PushedBase(3, Millis(3400)).value() == 2);
  }
  BOOST_TEST(ReaderCount > 0);
}

BOOST_AUTO_TEST_CASE(ServesALargeDataCentreWithFewTransfers) {
  Mesh Cluster = makeMesh(80);
  Cluster.publish("one");
  Cluster.run(Millis(6000));
  const Version Second = Cluster.publish("two");
  Cluster.run(Millis(700));
  BOOST_TEST(Cluster.allAt(Second));
}

BOOST_AUTO_TEST_CASE(AFailedReaderIsReplacedAndMissedSetsArePulled) {
  Mesh Cluster = makeMesh(5);
  Cluster.publish("one");
  Cluster.run(Millis(4000));
  Cluster.Nodes[Cluster.readerOf("derby")].Isolated = true;
  const Version Second = Cluster.publish("two");
  Cluster.run(Millis(1000));
  BOOST_TEST(Cluster.allAt(Second));
  BOOST_TEST(!Cluster.readerOf("derby").empty());
}

BOOST_AUTO_TEST_CASE(AReaderWithoutTheLogIsReplacedByRankAndDelay) {
  Mesh Cluster = makeMesh(5);
  Cluster.publish("one");
  Cluster.run(Millis(4000));
  Cluster.Nodes[Cluster.readerOf("derby")].LogUnreachable = true;
  // The other data centre is isolated, so that its nodes can't send the set.
  for (auto &[Name, Member] : Cluster.Nodes)
    Member.Isolated = Member.DataCentre == "leicester";
  const Version Second = Cluster.publish("two");
  Cluster.run(Millis(4500));
  BOOST_TEST(Cluster.allAt(Second));
  BOOST_TEST(Cluster.readers("derby") == 2);
}

BOOST_AUTO_TEST_CASE(WithoutTheLogANewNodeGetsTheSetFromPeers) {
  Mesh Cluster = makeMesh(4);
  const Version First = Cluster.publish("one");
  Cluster.run(Millis(4000));
  for (auto &[Name, Member] : Cluster.Nodes)
    Member.LogUnreachable = Member.DataCentre == "derby";
  Cluster.add("dnew", "derby");
  Cluster.Nodes["dnew"].LogUnreachable = true;
  Cluster.run(Millis(3000));
  BOOST_TEST(Cluster.versionOf("dnew") == First);
  // The other data centre still reads the log, so its sets are pulled from
  // there.
  const Version Second = Cluster.publish("two");
  Cluster.run(Millis(6500));
  BOOST_TEST(Cluster.allAt(Second));
}

BOOST_AUTO_TEST_CASE(AStartingNodeInstallsNothingOlderThanItsPeersHold) {
  Mesh Cluster = makeMesh(4);
  Cluster.publish("one");
  const Version Second = Cluster.publish("two");
  Cluster.run(Millis(4000));
  Cluster.add("dnew", "derby");
  Cluster.run(Millis(3000));
  BOOST_REQUIRE(!Cluster.Nodes["dnew"].InForce.empty());
  BOOST_TEST(Cluster.Nodes["dnew"].InForce.front() == Second);
}

BOOST_AUTO_TEST_CASE(AStartingNodeWaitsForTheHighestVersionHeld) {
  ConfigReplicator Replicator = makeSingleNode();
  const Common::SteadyTime Start;
  const auto Installs = [](const ReplicationActions &Actions) {
    return std::any_of(Actions.begin(), Actions.end(), [](const auto &Action) {
      return std::holds_alternative<InstallSet>(Action);
    });
  };
  Replicator.setPeers({{"b", "x", "b", 5}, {"c", "y", "c", 7}}, Start);
  BOOST_TEST(!Installs(
      Replicator.handleMessage(snapshot(5, "[service s]\n"), 1, Start)));
  BOOST_TEST(!Installs(Replicator.tick(Start + Millis(2000))));
  BOOST_TEST(Installs(Replicator.handleMessage(snapshot(7, "[service t]\n"), 1,
                                               Start + Millis(2100))));
}

BOOST_AUTO_TEST_CASE(StartingNodesDiscoverPeersBeforeTheyReadTheLog) {
  Mesh Cluster = makeMesh(8);
  Cluster.run(Millis(950));
  BOOST_TEST(Cluster.readers("derby") == 0);
  Cluster.run(Millis(1200));
  BOOST_TEST(Cluster.readers("derby") == 1);
}

BOOST_AUTO_TEST_CASE(LimitsConcurrentSnapshots) {
  ReplicationOptions Options;
  Options.Node = "a";
  Options.DataCentre = "x";
  Options.MaxTransfers = 2;
  Common::SteadyTime Now;
  ConfigReplicator Replicator(Options, Now);
  Replicator.handleMessage(snapshot(5, "[service s]\n"), 1, Now);
  int Refused = 0;
  for (const char *Name : {"b", "c", "d"})
    for (const auto &Action :
         Replicator.handleMessage(SetRequest{Name, 0, false}, 1, Now))
      if (const auto *Answer = std::get_if<AnswerPeer>(&Action))
        Refused += std::holds_alternative<RequestRefused>(Answer->Message);
  BOOST_TEST(Refused == 1);
}

BOOST_AUTO_TEST_CASE(VersionNeverDecreasesAndInvalidSnapshotsAreRejected) {
  ConfigReplicator Replicator = makeSingleNode();
  const Common::SteadyTime Now;
  Replicator.handleMessage(snapshot(5, "[service s]\n"), 1, Now);
  BOOST_TEST(Replicator.history().current().SetVersion == 5);
  Replicator.handleMessage(snapshot(4, "[service old]\n"), 1, Now);
  Replicator.handleMessage(snapshot(5, "[service same]\n"), 1, Now);
  SetSnapshot WrongHash = snapshot(6, "[service t]\n");
  ++WrongHash.Hash;
  BOOST_TEST((rejectionCode(Replicator.handleMessage(WrongHash, 1, Now)) ==
              Common::ResultCode::PublishSetInvalid));
  BOOST_TEST((rejectionCode(Replicator.handleMessage(
                  snapshot(7, "[service t]\nfallback = nowhere\n"), 1, Now)) ==
              Common::ResultCode::PublishSetInvalid));
  SetSnapshot NewRules = snapshot(8, "[newtype t]\n");
  NewRules.Level = CurrentRuleLevel + 1;
  BOOST_TEST((rejectionCode(Replicator.handleMessage(NewRules, 1, Now)) ==
              Common::ResultCode::RuleLevelUnknown));
  BOOST_TEST(Replicator.history().current().SetVersion == 5);
  BOOST_TEST(Replicator.history().current().Set->services().contains("s"));
}

BOOST_AUTO_TEST_CASE(RequestsTheWholeSetWhenTheBaseIsUnknown) {
  ConfigReplicator Replicator = makeSingleNode();
  SetSnapshot Delta = snapshot(9, "[service t]\n");
  Delta.Base = 3;
  const ReplicationActions Actions =
      Replicator.handleMessage(Delta, 7, Common::SteadyTime());
  const auto Request =
      std::find_if(Actions.begin(), Actions.end(), [](const auto &Action) {
        const auto *Answer = std::get_if<AnswerPeer>(&Action);
        return Answer && std::holds_alternative<SetRequest>(Answer->Message);
      });
  BOOST_REQUIRE((Request != Actions.end()));
  BOOST_TEST(std::get<AnswerPeer>(*Request).Link == 7);
  BOOST_TEST(Replicator.history().current().SetVersion == 0);
}

BOOST_AUTO_TEST_CASE(CheckpointsAreRenewedWithoutPublishing) {
  Mesh Cluster = makeMesh(3);
  Cluster.publish("one");
  Cluster.run(std::chrono::minutes(25));
  int Sum = 0;
  for (auto &[Name, Member] : Cluster.Nodes)
    Sum += Member.Checkpoints;
  // One data centre writes every ten minutes, the other every twenty minutes.
  BOOST_TEST(Sum == 5);
}

BOOST_AUTO_TEST_SUITE_END()
