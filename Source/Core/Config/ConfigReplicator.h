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
  // Every node reads the log itself; no sets are pushed to peers.
  bool EveryNodeReads = false;
  std::uint64_t Seed = 0;
  std::size_t MaxTransfers = 32;
  Common::Duration TransferTimeout = Common::Millis(2000);
  Common::Duration AnnounceInterval = Common::Millis(1000);
  // A standby takes over after this time without an announcement, multiplied by
  // its rank.
  Common::Duration TakeoverDelay = Common::Millis(2500);
  // How long a node that is behind waits for a push before it sends a pull.
  Common::Duration PullDelay = Common::Millis(500);
  Common::Duration MinBackoff = Common::Millis(200);
  Common::Duration MaxBackoff = Common::Millis(10'000);
  // How long a starting node waits to discover its peers.
  Common::Duration PeerDiscoveryTime = Common::Millis(1000);
  // After this time a starting node installs the newest set that it has.
  Common::Duration StartTimeout = Common::Millis(5000);
  Common::Duration CheckpointInterval = std::chrono::minutes(10);
  Common::Duration CheckpointRetryDelay = Common::Millis(10'000);
};

// Identifies the connection on which a message arrived, so that it can be
// answered.
using ReplicationLink = std::uint64_t;

struct StartReading {};
struct StopReading {};
struct InstallSet {
  AcceptedSet Newest;
};
struct SendToPeer {
  std::string Address;
  ReplicationMessage Message;
};
struct AnswerPeer {
  ReplicationLink Link = 0;
  ReplicationMessage Message;
};
struct WriteCheckpoint {};
// Reports that a snapshot from a peer was rejected.
struct ReportRejectedSnapshot {
  std::string Node;
  Version SetVersion = 0;
  Common::ResultCode Code = Common::ResultCode::Ok;
};
using ReplicationAction =
    std::variant<StartReading, StopReading, InstallSet, SendToPeer, AnswerPeer,
                 WriteCheckpoint, ReportRejectedSnapshot>;
using ReplicationActions = std::vector<ReplicationAction>;

// Decides for one node where it gets the newest accepted set from and which
// peers it sends the set to. In each data centre one node reads the log and
// pushes new sets to the others. A node that sees a higher version on a peer
// pulls it. The current version never decreases, whatever the source.
class ConfigReplicator {
public:
  ConfigReplicator(ReplicationOptions NodeOptions, Common::SteadyTime Start);

  ReplicationActions setPeers(std::vector<ReplicationPeer> Alive,
                              Common::SteadyTime Now);
  ReplicationActions handleMessage(const ReplicationMessage &Message,
                                   ReplicationLink Link,
                                   Common::SteadyTime Now);
  ReplicationActions handlePeerLost(const std::string &Address,
                                    Common::SteadyTime Now);
  ReplicationActions tick(Common::SteadyTime Now);

  // Handles a record read from the log. Result stays empty for a record that
  // was already applied.
  ReplicationActions handleRecord(Version Offset, const Record &Proposal,
                                  std::optional<RecordResult> &Result,
                                  Common::SteadyTime Now);
  ReplicationActions handleMalformedRecord(Version Offset,
                                           const std::string &Detail,
                                           std::optional<RecordResult> &Result,
                                           Common::SteadyTime Now);
  ReplicationActions restoreCheckpoint(const Checkpoint &Saved,
                                       Common::ResultCode &Result,
                                       Common::SteadyTime Now);
  // A read of the log completed. AtEnd is set when the log has no more records.
  ReplicationActions handleLogRead(bool AtEnd, Common::SteadyTime Now);
  void handleLogFailure() { LogReachable = false; }
  void handleCheckpointFailure(Common::SteadyTime Now);

  const AcceptedHistory &history() const { return History; }
  bool isReading() const { return Reading; }

private:
  struct RecentSet {
    Version SetVersion = 0;
    std::string Text;
  };
  struct Pull {
    std::string Address;
    Common::SteadyTime Deadline;
  };

  void handleMessage(const HeldVersion &Message, ReplicationLink Link);
  void handleMessage(const SetRequest &Message, ReplicationLink Link);
  void handleMessage(const SetSnapshot &Message, ReplicationLink Link);
  void handleMessage(const RequestRefused &Message, ReplicationLink Link);

  // Returns the set in the snapshot, or null with an error code in Result.
  ObjectSetPtr decodeSnapshot(const SetSnapshot &Snapshot,
                              Common::ResultCode &Result);
  // Re-evaluates the state after an event and returns the actions to perform.
  ReplicationActions update();
  void updateReaderRole();
  void updateRecentSets();
  void installCurrentSet();
  void sendQueuedPushes();
  void pullIfBehind();
  void announceToStandbys();
  void writeCheckpointIfDue();
  void queuePushes();
  void finishPull(bool Succeeded);
  // Returns null when this node has nothing newer than Held.
  const SetSnapshot *snapshotFor(Version Held, bool WholeOnly);
  SetSnapshot makeSnapshot(const RecentSet *Base) const;
  const RecentSet *findRecentSet(Version SetVersion) const;
  const ReplicationPeer *findPeer(const std::string &Node) const;
  // Picks a random peer among the permitted ones with the highest version.
  const ReplicationPeer *choosePullSource();
  Version highestHeld(bool AnyDataCentre) const;
  Common::Duration jitter(Common::Duration Max);

  ReplicationOptions Options;
  Common::SteadyTime Start;
  Common::SteadyTime Now;
  std::mt19937_64 Random;
  AcceptedHistory History;
  ReaderElection Election;
  SnapshotTransfers Transfers;
  // The versions that peers acknowledged. The membership table lags behind by
  // a few heartbeats.
  std::map<std::string, Version> Acknowledged;
  std::vector<ReplicationPeer> Peers;
  ReplicationActions Actions;

  bool Reading = false;
  bool LogReachable = false;
  bool LogCaughtUp = false;
  bool Started = false;
  Version Installed = 0;
  std::deque<RecentSet> RecentSets;
  // Snapshots of the newest set, keyed by base version; 0 is the whole set.
  std::map<Version, SetSnapshot> Snapshots;
  std::deque<std::string> PushQueue;
  std::optional<Pull> PendingPull;
  std::optional<Common::SteadyTime> BehindSince;
  Common::SteadyTime NextPull;
  Common::Duration Backoff;
  bool NeedsWholeSet = false;
  Common::SteadyTime NextAnnouncement;
  Common::Duration DiscoveryJitter;
  Common::SteadyTime NextCheckpoint;
};

} // namespace Config
