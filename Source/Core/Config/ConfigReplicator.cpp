#include "Config/ConfigReplicator.h"
#include "Common/Hash.h"

#include <algorithm>

#include "Config/ObjectSetBuilder.h"

namespace Config {

using Common::ResultCode;

namespace {

// How many recent versions are kept as possible bases for deltas.
constexpr std::size_t MaxRecentSets = 4;

} // namespace

ConfigReplicator::ConfigReplicator(ReplicationOptions NodeOptions,
                                   Common::SteadyTime Start)
    : Options(std::move(NodeOptions)), Start(Start), Now(Start),
      Random(Options.Seed),
      Election(Options.Node, Options.DataCentre, Options.TakeoverDelay, Start),
      Transfers(Options.MaxTransfers, Options.TransferTimeout), NextPull(Start),
      Backoff(Options.MinBackoff), NextAnnouncement(Start),
      DiscoveryJitter(jitter(Options.PeerDiscoveryTime)),
      NextCheckpoint(Start) {}

ReplicationActions
ConfigReplicator::setPeers(std::vector<ReplicationPeer> Alive,
                           Common::SteadyTime Time) {
  Now = Time;
  Peers = std::move(Alive);
  std::erase_if(Peers, [this](const ReplicationPeer &Peer) {
    return Peer.Node == Options.Node;
  });
  Election.setPeers(Peers, Now);
  return update();
}

ReplicationActions
ConfigReplicator::handleMessage(const ReplicationMessage &Message,
                                ReplicationLink Link, Common::SteadyTime Time) {
  Now = Time;
  std::visit([&](const auto &Alternative) { handleMessage(Alternative, Link); },
             Message);
  return update();
}

ReplicationActions ConfigReplicator::handlePeerLost(const std::string &Address,
                                                    Common::SteadyTime Time) {
  Now = Time;
  for (const ReplicationPeer &Peer : Peers)
    if (Peer.Address == Address)
      Transfers.end(Peer.Node);
  if (PendingPull && PendingPull->Address == Address)
    finishPull(false);
  return update();
}

ReplicationActions ConfigReplicator::tick(Common::SteadyTime Time) {
  Now = Time;
  Transfers.expire(Now);
  if (PendingPull && PendingPull->Deadline <= Now)
    finishPull(false);
  return update();
}

ReplicationActions
ConfigReplicator::handleRecord(Version Offset, const Record &Proposal,
                               std::optional<RecordResult> &Result,
                               Common::SteadyTime Time) {
  Now = Time;
  Result = History.apply(Offset, Proposal);
  return update();
}

ReplicationActions ConfigReplicator::handleMalformedRecord(
    Version Offset, const std::string &Detail,
    std::optional<RecordResult> &Result, Common::SteadyTime Time) {
  Now = Time;
  Result = History.applyMalformed(Offset, Detail);
  return update();
}

ReplicationActions
ConfigReplicator::restoreCheckpoint(const Checkpoint &Saved, ResultCode &Result,
                                    Common::SteadyTime Time) {
  Now = Time;
  Result = History.restore(Saved);
  return update();
}

ReplicationActions ConfigReplicator::handleLogRead(bool AtEnd,
                                                   Common::SteadyTime Time) {
  Now = Time;
  LogReachable = true;
  LogCaughtUp = LogCaughtUp || AtEnd;
  return update();
}

void ConfigReplicator::handleCheckpointFailure(Common::SteadyTime Time) {
  NextCheckpoint = Time + Options.CheckpointRetryDelay;
}

void ConfigReplicator::handleMessage(const HeldVersion &Message,
                                     ReplicationLink Link) {
  (void)Link;
  Transfers.end(Message.Node);
  Acknowledged[Message.Node] = Message.Held;
  if (Message.ReadsLog)
    Election.handleReaderAnnouncement(Message.Node, Now);
  for (ReplicationPeer &Peer : Peers)
    if (Peer.Node == Message.Node) {
      Peer.Held = std::max(Peer.Held, Message.Held);
      if (PendingPull && PendingPull->Address == Peer.Address)
        finishPull(false);
    }
}

void ConfigReplicator::handleMessage(const SetRequest &Message,
                                     ReplicationLink Link) {
  const SetSnapshot *Answer = snapshotFor(Message.Held, Message.WholeOnly);
  if (!Answer)
    Actions.push_back(AnswerPeer{
        Link, HeldVersion{Options.Node, History.current().SetVersion, false}});
  else if (Transfers.start(Message.Node, Now))
    Actions.push_back(AnswerPeer{Link, *Answer});
  else
    Actions.push_back(AnswerPeer{Link, RequestRefused{Options.Node}});
}

void ConfigReplicator::handleMessage(const SetSnapshot &Message,
                                     ReplicationLink Link) {
  const bool WasPulling = PendingPull.has_value();
  ResultCode Result = ResultCode::VersionNotNewer;
  if (Message.SetVersion > History.current().SetVersion) {
    if (const ObjectSetPtr Set = decodeSnapshot(Message, Result))
      Result =
          History.adopt(AcceptedSet{Message.SetVersion, Message.Level, Set});
    NeedsWholeSet = Result != ResultCode::Ok && Message.Base != 0;
  }
  if (Result != ResultCode::Ok && Result != ResultCode::VersionNotNewer)
    Actions.push_back(
        ReportRejectedSnapshot{Message.Node, Message.SetVersion, Result});
  if (WasPulling)
    finishPull(Result == ResultCode::Ok);
  if (NeedsWholeSet) {
    // This node can't apply the delta, so it requests the whole set.
    Actions.push_back(AnswerPeer{
        Link, SetRequest{Options.Node, History.current().SetVersion, true}});
    return;
  }
  Actions.push_back(AnswerPeer{
      Link, HeldVersion{Options.Node, History.current().SetVersion, false}});
}

void ConfigReplicator::handleMessage(const RequestRefused &Message,
                                     ReplicationLink Link) {
  (void)Message;
  (void)Link;
  finishPull(false);
}

ObjectSetPtr ConfigReplicator::decodeSnapshot(const SetSnapshot &Snapshot,
                                              ResultCode &Result) {
  Result = ResultCode::PublishSetInvalid;
  if (Snapshot.Level > CurrentRuleLevel) {
    Result = ResultCode::RuleLevelUnknown;
    return nullptr;
  }
  std::string Text = Snapshot.Content.Changed;
  if (Snapshot.Base != 0) {
    const RecentSet *Base = findRecentSet(Snapshot.Base);
    if (!Base) {
      Result = ResultCode::VersionUnknown;
      return nullptr;
    }
    Text = applyDelta(Base->Text, Snapshot.Content);
  }
  ObjectSetBuilder Builder;
  Builder.input("version " + std::to_string(Snapshot.SetVersion), Text);
  if (!Builder.faults().empty())
    return nullptr;
  ObjectSetPtr Set = Builder.build();
  return Common::hashOf(Set->canonicalText()) == Snapshot.Hash ? Set : nullptr;
}

ReplicationActions ConfigReplicator::update() {
  updateReaderRole();
  updateRecentSets();
  installCurrentSet();
  sendQueuedPushes();
  pullIfBehind();
  announceToStandbys();
  writeCheckpointIfDue();
  ReplicationActions Result;
  Result.swap(Actions);
  return Result;
}

void ConfigReplicator::updateReaderRole() {
  // A starting node that has not discovered its peers yet would consider itself
  // the reader, and nodes that start together would all read the log at once.
  const bool Discovered =
      Now - Start >= Options.PeerDiscoveryTime + DiscoveryJitter;
  const bool ShouldRead =
      Options.EveryNodeReads || (Discovered && Election.isReader(Now));
  if (ShouldRead == Reading)
    return;
  Reading = ShouldRead;
  LogReachable = false;
  if (ShouldRead)
    Actions.push_back(StartReading{});
  else
    Actions.push_back(StopReading{});
}

void ConfigReplicator::updateRecentSets() {
  const AcceptedSet &Current = History.current();
  if (!Current.Set || (!RecentSets.empty() &&
                       RecentSets.back().SetVersion == Current.SetVersion))
    return;
  RecentSets.push_back({Current.SetVersion, Current.Set->canonicalText()});
  if (RecentSets.size() > MaxRecentSets)
    RecentSets.pop_front();
  Snapshots.clear();
  // Older versions are no longer available as a base.
  std::erase_if(Acknowledged, [this](const auto &Entry) {
    return Entry.second < RecentSets.front().SetVersion;
  });
  NeedsWholeSet = false;
  // Nodes that start together may each be the reader for a short time. If all
  // of them pushed, every node would receive the set several times.
  const bool RolesStable = Now - Start >= Options.PeerDiscoveryTime * 3;
  if (Reading && RolesStable && !Options.EveryNodeReads)
    queuePushes();
}

void ConfigReplicator::installCurrentSet() {
  const Version Current = History.current().SetVersion;
  if (Current == 0 || Current == Installed)
    return;
  const bool Discovered = Now - Start >= Options.PeerDiscoveryTime;
  // Until then a peer or the log may still have a higher version.
  Started = Started || LogCaughtUp ||
            (Discovered && highestHeld(true) <= Current) ||
            Now - Start >= Options.StartTimeout;
  if (!Started)
    return;
  Installed = Current;
  Actions.push_back(InstallSet{History.current()});
}

void ConfigReplicator::queuePushes() {
  PushQueue.clear();
  for (const ReplicationPeer &Peer : Peers)
    if (Peer.DataCentre == Options.DataCentre &&
        Peer.Held < History.current().SetVersion)
      PushQueue.push_back(Peer.Node);
}

void ConfigReplicator::sendQueuedPushes() {
  while (!PushQueue.empty()) {
    const ReplicationPeer *Target = findPeer(PushQueue.front());
    if (Target && Target->Held < History.current().SetVersion) {
      if (!Transfers.start(Target->Node, Now))
        return;
      const Version Held = std::max(Target->Held, Acknowledged[Target->Node]);
      // A peer that has not reported a version yet gets the whole set.
      if (const SetSnapshot *Snapshot = snapshotFor(Held, false))
        Actions.push_back(SendToPeer{Target->Address, *Snapshot});
    }
    PushQueue.pop_front();
  }
}

Version ConfigReplicator::highestHeld(bool AnyDataCentre) const {
  Version Highest = 0;
  for (const ReplicationPeer &Peer : Peers)
    if (AnyDataCentre || Peer.DataCentre == Options.DataCentre)
      Highest = std::max(Highest, Peer.Held);
  return Highest;
}

const ReplicationPeer *ConfigReplicator::choosePullSource() {
  // Only the reader normally pulls a set from another data centre, so that it
  // crosses once. The other nodes wait for the reader and pull from a remote
  // data centre only if they stay behind for too long.
  const bool MayPullRemote =
      Reading ||
      (BehindSince && Now - *BehindSince > Options.TakeoverDelay * 2);
  const Version OwnVersion = History.current().SetVersion;
  bool Remote = false;
  Version Highest = highestHeld(false);
  if (Highest <= OwnVersion && MayPullRemote) {
    Remote = true;
    Highest = highestHeld(true);
  }
  if (Highest <= OwnVersion)
    return nullptr;
  std::vector<const ReplicationPeer *> Best;
  for (const ReplicationPeer &Peer : Peers)
    if (Peer.Held == Highest &&
        (Remote || Peer.DataCentre == Options.DataCentre))
      Best.push_back(&Peer);
  std::uniform_int_distribution<std::size_t> Pick(0, Best.size() - 1);
  return Best[Pick(Random)];
}

void ConfigReplicator::pullIfBehind() {
  const Version OwnVersion = History.current().SetVersion;
  if (highestHeld(true) <= OwnVersion) {
    BehindSince.reset();
    return;
  }
  if (!BehindSince) {
    BehindSince = Now;
    // A node without a set can't serve calls, so it does not wait for a push.
    const Common::Duration Wait =
        OwnVersion == 0 ? Common::Duration(0) : Options.PullDelay;
    NextPull = std::max(NextPull, Now + Wait + jitter(Options.MinBackoff));
  }
  if (PendingPull || Now < NextPull)
    return;
  const ReplicationPeer *Source = choosePullSource();
  if (!Source)
    return;
  PendingPull = Pull{Source->Address, Now + Options.TransferTimeout};
  Actions.push_back(SendToPeer{
      Source->Address, SetRequest{Options.Node, OwnVersion, NeedsWholeSet}});
}

void ConfigReplicator::finishPull(bool Succeeded) {
  if (!PendingPull)
    return;
  PendingPull.reset();
  if (Succeeded) {
    Backoff = Options.MinBackoff;
    return;
  }
  NextPull = Now + Backoff / 2 + jitter(Backoff);
  Backoff = std::min(Backoff * 2, Options.MaxBackoff);
}

void ConfigReplicator::announceToStandbys() {
  if (!Reading || !LogReachable || Options.EveryNodeReads ||
      Now < NextAnnouncement)
    return;
  NextAnnouncement = Now + Options.AnnounceInterval;
  for (const std::string &Standby : Election.standbys())
    if (const ReplicationPeer *Target = findPeer(Standby))
      Actions.push_back(SendToPeer{
          Target->Address,
          HeldVersion{Options.Node, History.current().SetVersion, true}});
}

void ConfigReplicator::writeCheckpointIfDue() {
  const bool ShouldWrite = Reading && LogReachable && LogCaughtUp &&
                           Installed > 0 && Election.rank() == 0;
  if (!ShouldWrite || Now < NextCheckpoint)
    return;
  // Every data centre writes checkpoints: the first-ranked one at every
  // interval, the second at every other one, and so on. A single writer is not
  // enough, because the other data centres still see it as alive when it has
  // lost the connection to the log.
  NextCheckpoint = Now + Options.CheckpointInterval *
                             static_cast<int>(1 + Election.dataCentreRank());
  Actions.push_back(WriteCheckpoint{});
}

const SetSnapshot *ConfigReplicator::snapshotFor(Version Held, bool WholeOnly) {
  if (RecentSets.empty() || History.current().SetVersion <= Held)
    return nullptr;
  const RecentSet *Base = WholeOnly ? nullptr : findRecentSet(Held);
  const auto [Found, IsNew] = Snapshots.try_emplace(Base ? Held : 0);
  if (IsNew)
    Found->second = makeSnapshot(Base);
  return &Found->second;
}

SetSnapshot ConfigReplicator::makeSnapshot(const RecentSet *Base) const {
  const AcceptedSet &Current = History.current();
  SetSnapshot Result;
  Result.Node = Options.Node;
  Result.SetVersion = Current.SetVersion;
  Result.Level = Current.Level;
  Result.Hash = Common::hashOf(RecentSets.back().Text);
  Result.Content.Changed = RecentSets.back().Text;
  if (!Base)
    return Result;
  SetDelta Delta = makeDelta(Base->Text, RecentSets.back().Text);
  if (Delta.size() < RecentSets.back().Text.size()) {
    Result.Base = Base->SetVersion;
    Result.Content = std::move(Delta);
  }
  return Result;
}

const ConfigReplicator::RecentSet *
ConfigReplicator::findRecentSet(Version SetVersion) const {
  for (const RecentSet &Candidate : RecentSets)
    if (Candidate.SetVersion == SetVersion)
      return &Candidate;
  return nullptr;
}

const ReplicationPeer *
ConfigReplicator::findPeer(const std::string &Node) const {
  for (const ReplicationPeer &Peer : Peers)
    if (Peer.Node == Node)
      return &Peer;
  return nullptr;
}

Common::Duration ConfigReplicator::jitter(Common::Duration Max) {
  std::uniform_int_distribution<Common::Duration::rep> Pick(0, Max.count());
  return Common::Duration(Pick(Random));
}

} // namespace Config
