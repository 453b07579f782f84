#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "Config/AcceptedHistory.h"
#include "Config/ReaderElection.h"
#include "Config/ReplicationMessage.h"
#include "Config/SnapshotTransfers.h"

namespace Config {

struct ReplicationOptions {
  std::string Node;
  std::string DataCentre;
  // Each node reads the log and none is sent a set.
  bool EveryNodeReads = false;
  std::uint64_t Seed = 0;
  std::size_t MaxFlights = 32;
  Common::Duration FlightLimit = Common::Millis(2000);
  Common::Duration AnnounceInterval = Common::Millis(1000);
  // Silence of the reader that the next rank waits for.
  Common::Duration TakeoverDelay = Common::Millis(2500);
  // How long a node that is behind waits for a push before it asks.
  Common::Duration RepairDelay = Common::Millis(500);
  Common::Duration LeastBackoff = Common::Millis(200);
  Common::Duration MostBackoff = Common::Millis(10'000);
  // Time in which a starting node learns who its peers are.
  Common::Duration PeerDiscovery = Common::Millis(1000);
  // After this, a starting node serves with the best set it has.
  Common::Duration StartLimit = Common::Millis(5000);
  Common::Duration CheckpointInterval = std::chrono::minutes(10);
  Common::Duration CheckpointRetry = Common::Millis(10'000);
};

// The connection a message came by, for the answer to it.
using ReplicationLink = std::uint64_t;

struct StartReading {};
struct StopReading {};
struct InstallSet {
  AcceptedSet Newest;
};
struct SendToPeer {
  std::string Address;
  ReplicationMessage Content;
};
struct AnswerPeer {
  ReplicationLink Link = 0;
  ReplicationMessage Content;
};
struct WriteCheckpoint {};
// A set from a peer was not taken.
struct ReportRejectedSnapshot {
  std::string Node;
  Version Number = 0;
  Common::ResultCode Code = Common::ResultCode::Ok;
};
using ReplicationAction =
    std::variant<StartReading, StopReading, InstallSet, SendToPeer, AnswerPeer,
                 WriteCheckpoint, ReportRejectedSnapshot>;
using ReplicationActions = std::vector<ReplicationAction>;

// Decides for one node how it comes by the newest accepted set and to whom it
// passes it on. In each data centre one node reads the log and sends new sets
// to the others; a node that sees a higher version at a member asks for it.
// Whatever the source, the version never moves back.
class ConfigReplicator {
public:
  ConfigReplicator(ReplicationOptions Given, Common::SteadyTime Start);

  ReplicationActions setPeers(std::vector<ReplicationPeer> Alive,
                              Common::SteadyTime Now);
  ReplicationActions take(const ReplicationMessage &Content,
                          ReplicationLink Link, Common::SteadyTime Now);
  ReplicationActions peerLost(const std::string &Address,
                              Common::SteadyTime Now);
  ReplicationActions tick(Common::SteadyTime Now);

  // What the log gave; Judged is left empty for what was known already.
  ReplicationActions record(Version Offset, const Record &Proposal,
                            std::optional<RecordResult> &Judged,
                            Common::SteadyTime Now);
  ReplicationActions malformed(Version Offset, const std::string &Detail,
                               std::optional<RecordResult> &Judged,
                               Common::SteadyTime Now);
  ReplicationActions restored(const Checkpoint &Later,
                              Common::ResultCode &Result,
                              Common::SteadyTime Now);
  // A read of the log ended; AtEnd when nothing is left to read.
  ReplicationActions logAnswered(bool AtEnd, Common::SteadyTime Now);
  void logFailed() { LogAnswers = false; }
  void checkpointFailed(Common::SteadyTime Now);

  const AcceptedHistory &history() const { return History; }
  bool isReading() const { return Reading; }

private:
  struct KeptSet {
    Version Number = 0;
    std::string Text;
  };
  struct Pull {
    std::string Address;
    Common::SteadyTime Ends;
  };

  void take(const HeldVersion &Part, ReplicationLink Link);
  void take(const SetRequest &Part, ReplicationLink Link);
  void take(const SetSnapshot &Part, ReplicationLink Link);
  void take(const RequestRefused &Part, ReplicationLink Link);

  // The set that a snapshot gives, or null with a code in Result.
  ObjectSetPtr unpack(const SetSnapshot &Part, Common::ResultCode &Result);
  ReplicationActions settle();
  void settleReading();
  void settleSet();
  void settleStart();
  void settlePushes();
  void settlePull();
  void settleAnnouncement();
  void settleCheckpoint();
  void queuePushes();
  void endPull(bool Served);
  // Null when this node has nothing newer.
  const SetSnapshot *snapshotFor(Version Held, bool WholeOnly);
  SetSnapshot makeSnapshot(const KeptSet *Base) const;
  const KeptSet *keptSet(Version Number) const;
  const ReplicationPeer *findPeer(const std::string &Node) const;
  // A peer to ask, of those with the highest version that may be asked.
  const ReplicationPeer *choosePullSource();
  Version highestHeld(bool AnyDataCentre) const;
  Common::Duration jitter(Common::Duration Most);

  ReplicationOptions Given;
  Common::SteadyTime Start;
  Common::SteadyTime Now;
  std::mt19937_64 Random;
  AcceptedHistory History;
  ReaderElection Election;
  SnapshotTransfers Flights;
  // What peers answered last; members' tables lag behind by some heartbeats.
  std::map<std::string, Version> Acknowledged;
  std::vector<ReplicationPeer> Peers;
  ReplicationActions Actions;

  bool Reading = false;
  bool LogAnswers = false;
  bool LogRead = false;
  bool Started = false;
  Version Installed = 0;
  std::deque<KeptSet> Kept;
  // Of the newest set, by the version of the base; 0 for the whole set.
  std::map<Version, SetSnapshot> Snapshots;
  std::deque<std::string> PushQueue;
  std::optional<Pull> Asked;
  std::optional<Common::SteadyTime> BehindSince;
  Common::SteadyTime NextPull;
  Common::Duration Backoff;
  bool WantWhole = false;
  Common::SteadyTime NextAnnouncement;
  Common::Duration DiscoveryJitter;
  Common::SteadyTime NextCheckpoint;
};

} // namespace Config
