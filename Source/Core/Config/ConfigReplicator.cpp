#include "Config/ConfigReplicator.h"
#include "Common/Hash.h"

#include <algorithm>

#include "Config/ObjectSetBuilder.h"

namespace Config {

using Common::ResultCode;

namespace {

// Versions that can serve as the base of a delta.
constexpr std::size_t KeptSets = 4;

} // namespace

ConfigReplicator::ConfigReplicator(ReplicationOptions Options,
                                   Common::SteadyTime Start)
    : Given(std::move(Options)), Start(Start), Now(Start), Random(Given.Seed),
      Election(Given.Node, Given.DataCentre, Given.TakeoverDelay, Start),
      Flights(Given.MaxFlights, Given.FlightLimit), NextPull(Start),
      Backoff(Given.LeastBackoff), NextAnnouncement(Start),
      DiscoveryJitter(jitter(Given.PeerDiscovery)), NextCheckpoint(Start) {}

ReplicationActions
ConfigReplicator::setPeers(std::vector<ReplicationPeer> Alive,
                           Common::SteadyTime Time) {
  Now = Time;
  Peers = std::move(Alive);
  std::erase_if(Peers, [this](const ReplicationPeer &Each) {
    return Each.Node == Given.Node;
  });
  Election.setPeers(Peers, Now);
  return settle();
}

ReplicationActions ConfigReplicator::take(const ReplicationMessage &Content,
                                          ReplicationLink Link,
                                          Common::SteadyTime Time) {
  Now = Time;
  std::visit([&](const auto &Part) { take(Part, Link); }, Content);
  return settle();
}

ReplicationActions ConfigReplicator::peerLost(const std::string &Address,
                                              Common::SteadyTime Time) {
  Now = Time;
  for (const ReplicationPeer &Each : Peers)
    if (Each.Address == Address)
      Flights.end(Each.Node);
  if (Asked && Asked->Address == Address)
    endPull(false);
  return settle();
}

ReplicationActions ConfigReplicator::tick(Common::SteadyTime Time) {
  Now = Time;
  Flights.expire(Now);
  if (Asked && Asked->Ends <= Now)
    endPull(false);
  return settle();
}

ReplicationActions ConfigReplicator::record(Version Offset,
                                            const Record &Proposal,
                                            std::optional<RecordResult> &Judged,
                                            Common::SteadyTime Time) {
  Now = Time;
  Judged = History.apply(Offset, Proposal);
  return settle();
}

ReplicationActions
ConfigReplicator::malformed(Version Offset, const std::string &Detail,
                            std::optional<RecordResult> &Judged,
                            Common::SteadyTime Time) {
  Now = Time;
  Judged = History.applyMalformed(Offset, Detail);
  return settle();
}

ReplicationActions ConfigReplicator::restored(const Checkpoint &Later,
                                              ResultCode &Result,
                                              Common::SteadyTime Time) {
  Now = Time;
  Result = History.restore(Later);
  return settle();
}

ReplicationActions ConfigReplicator::logAnswered(bool AtEnd,
                                                 Common::SteadyTime Time) {
  Now = Time;
  LogAnswers = true;
  LogRead = LogRead || AtEnd;
  return settle();
}

void ConfigReplicator::checkpointFailed(Common::SteadyTime Time) {
  NextCheckpoint = Time + Given.CheckpointRetry;
}

void ConfigReplicator::take(const HeldVersion &Part, ReplicationLink Link) {
  (void)Link;
  Flights.end(Part.Node);
  Acknowledged[Part.Node] = Part.Held;
  if (Part.ReadsLog)
    Election.heardReader(Part.Node, Now);
  for (ReplicationPeer &Each : Peers)
    if (Each.Node == Part.Node) {
      Each.Held = std::max(Each.Held, Part.Held);
      if (Asked && Asked->Address == Each.Address)
        endPull(false);
    }
}

void ConfigReplicator::take(const SetRequest &Part, ReplicationLink Link) {
  const SetSnapshot *Answer = snapshotFor(Part.Held, Part.WholeOnly);
  if (!Answer)
    Actions.push_back(AnswerPeer{
        Link, HeldVersion{Given.Node, History.current().Number, false}});
  else if (Flights.start(Part.Node, Now))
    Actions.push_back(AnswerPeer{Link, *Answer});
  else
    Actions.push_back(AnswerPeer{Link, RequestRefused{Given.Node}});
}

void ConfigReplicator::take(const SetSnapshot &Part, ReplicationLink Link) {
  const bool WasAsked = Asked.has_value();
  ResultCode Result = ResultCode::VersionNotNewer;
  if (Part.Number > History.current().Number) {
    if (const ObjectSetPtr Set = unpack(Part, Result))
      Result = History.adopt(AcceptedSet{Part.Number, Part.Level, Set});
    WantWhole = Result != ResultCode::Ok && Part.Base != 0;
  }
  if (Result != ResultCode::Ok && Result != ResultCode::VersionNotNewer)
    Actions.push_back(ReportRejectedSnapshot{Part.Node, Part.Number, Result});
  if (WasAsked)
    endPull(Result == ResultCode::Ok);
  if (WantWhole) {
    // Its base is not what this node has.
    Actions.push_back(AnswerPeer{
        Link, SetRequest{Given.Node, History.current().Number, true}});
    return;
  }
  Actions.push_back(AnswerPeer{
      Link, HeldVersion{Given.Node, History.current().Number, false}});
}

void ConfigReplicator::take(const RequestRefused &Part, ReplicationLink Link) {
  (void)Part;
  (void)Link;
  endPull(false);
}

ObjectSetPtr ConfigReplicator::unpack(const SetSnapshot &Part,
                                      ResultCode &Result) {
  Result = ResultCode::PublishSetInvalid;
  if (Part.Level > CurrentRuleLevel) {
    Result = ResultCode::RuleLevelUnknown;
    return nullptr;
  }
  std::string Text = Part.Content.Changed;
  if (Part.Base != 0) {
    const KeptSet *Base = keptSet(Part.Base);
    if (!Base) {
      Result = ResultCode::VersionUnknown;
      return nullptr;
    }
    Text = applyDelta(Base->Text, Part.Content);
  }
  ObjectSetBuilder Builder;
  Builder.input("version " + std::to_string(Part.Number), Text);
  if (!Builder.faults().empty())
    return nullptr;
  ObjectSetPtr Set = Builder.build();
  return Common::hashOf(Set->canonicalText()) == Part.Hash ? Set : nullptr;
}

ReplicationActions ConfigReplicator::settle() {
  settleReading();
  settleSet();
  settleStart();
  settlePushes();
  settlePull();
  settleAnnouncement();
  settleCheckpoint();
  ReplicationActions Result;
  Result.swap(Actions);
  return Result;
}

void ConfigReplicator::settleReading() {
  // A starting node that knew nobody would take itself for the reader; a herd
  // of them would go to the log together.
  const bool Discovered = Now - Start >= Given.PeerDiscovery + DiscoveryJitter;
  const bool Wanted =
      Given.EveryNodeReads || (Discovered && Election.isReader(Now));
  if (Wanted == Reading)
    return;
  Reading = Wanted;
  LogAnswers = false;
  if (Wanted)
    Actions.push_back(StartReading{});
  else
    Actions.push_back(StopReading{});
}

void ConfigReplicator::settleSet() {
  const AcceptedSet &Current = History.current();
  if (!Current.Set || (!Kept.empty() && Kept.back().Number == Current.Number))
    return;
  Kept.push_back({Current.Number, Current.Set->canonicalText()});
  if (Kept.size() > KeptSets)
    Kept.pop_front();
  Snapshots.clear();
  // What is older than that can't be a base.
  std::erase_if(Acknowledged, [this](const auto &Each) {
    return Each.second < Kept.front().Number;
  });
  WantWhole = false;
  // Nodes that start together may each be the reader for a moment; if all of
  // them pushed, each would get the set many times.
  const bool Settled = Now - Start >= Given.PeerDiscovery * 3;
  if (Reading && Settled && !Given.EveryNodeReads)
    queuePushes();
}

void ConfigReplicator::settleStart() {
  const Version Number = History.current().Number;
  if (Number == 0 || Number == Installed)
    return;
  const bool Discovered = Now - Start >= Given.PeerDiscovery;
  // Until then a peer or the log may offer a higher version.
  Started = Started || LogRead || (Discovered && highestHeld(true) <= Number) ||
            Now - Start >= Given.StartLimit;
  if (!Started)
    return;
  Installed = Number;
  Actions.push_back(InstallSet{History.current()});
}

void ConfigReplicator::queuePushes() {
  PushQueue.clear();
  for (const ReplicationPeer &Each : Peers)
    if (Each.DataCentre == Given.DataCentre &&
        Each.Held < History.current().Number)
      PushQueue.push_back(Each.Node);
}

void ConfigReplicator::settlePushes() {
  while (!PushQueue.empty()) {
    const ReplicationPeer *Target = findPeer(PushQueue.front());
    if (Target && Target->Held < History.current().Number) {
      if (!Flights.start(Target->Node, Now))
        return;
      const Version Held = std::max(Target->Held, Acknowledged[Target->Node]);
      // A peer that has not told its version yet gets the whole set.
      if (const SetSnapshot *Content = snapshotFor(Held, false))
        Actions.push_back(SendToPeer{Target->Address, *Content});
    }
    PushQueue.pop_front();
  }
}

Version ConfigReplicator::highestHeld(bool AnyDataCentre) const {
  Version Highest = 0;
  for (const ReplicationPeer &Each : Peers)
    if (AnyDataCentre || Each.DataCentre == Given.DataCentre)
      Highest = std::max(Highest, Each.Held);
  return Highest;
}

const ReplicationPeer *ConfigReplicator::choosePullSource() {
  // Sets cross to another data centre once, to the reader; the others wait for
  // it unless it fails them.
  const bool MayCross =
      Reading || (BehindSince && Now - *BehindSince > Given.TakeoverDelay * 2);
  const Version Own = History.current().Number;
  bool Cross = false;
  Version Highest = highestHeld(false);
  if (Highest <= Own && MayCross) {
    Cross = true;
    Highest = highestHeld(true);
  }
  if (Highest <= Own)
    return nullptr;
  std::vector<const ReplicationPeer *> Best;
  for (const ReplicationPeer &Each : Peers)
    if (Each.Held == Highest && (Cross || Each.DataCentre == Given.DataCentre))
      Best.push_back(&Each);
  std::uniform_int_distribution<std::size_t> Pick(0, Best.size() - 1);
  return Best[Pick(Random)];
}

void ConfigReplicator::settlePull() {
  const Version Own = History.current().Number;
  if (highestHeld(true) <= Own) {
    BehindSince.reset();
    return;
  }
  if (!BehindSince) {
    BehindSince = Now;
    // A node without a set can't serve; it does not wait for a push.
    const Common::Duration Wait =
        Own == 0 ? Common::Duration(0) : Given.RepairDelay;
    NextPull = std::max(NextPull, Now + Wait + jitter(Given.LeastBackoff));
  }
  if (Asked || Now < NextPull)
    return;
  const ReplicationPeer *Source = choosePullSource();
  if (!Source)
    return;
  Asked = Pull{Source->Address, Now + Given.FlightLimit};
  Actions.push_back(
      SendToPeer{Source->Address, SetRequest{Given.Node, Own, WantWhole}});
}

void ConfigReplicator::endPull(bool Served) {
  if (!Asked)
    return;
  Asked.reset();
  if (Served) {
    Backoff = Given.LeastBackoff;
    return;
  }
  NextPull = Now + Backoff / 2 + jitter(Backoff);
  Backoff = std::min(Backoff * 2, Given.MostBackoff);
}

void ConfigReplicator::settleAnnouncement() {
  if (!Reading || !LogAnswers || Given.EveryNodeReads || Now < NextAnnouncement)
    return;
  NextAnnouncement = Now + Given.AnnounceInterval;
  for (const std::string &Each : Election.standbys())
    if (const ReplicationPeer *Target = findPeer(Each))
      Actions.push_back(
          SendToPeer{Target->Address,
                     HeldVersion{Given.Node, History.current().Number, true}});
}

void ConfigReplicator::settleCheckpoint() {
  const bool Writes =
      Reading && LogAnswers && LogRead && Installed > 0 && Election.rank() == 0;
  if (!Writes || Now < NextCheckpoint)
    return;
  // Each data centre writes, the better ranked more often: when the first is
  // cut off from the log, the others see it alive.
  NextCheckpoint = Now + Given.CheckpointInterval *
                             static_cast<int>(1 + Election.dataCentreRank());
  Actions.push_back(WriteCheckpoint{});
}

const SetSnapshot *ConfigReplicator::snapshotFor(Version Held, bool WholeOnly) {
  if (Kept.empty() || History.current().Number <= Held)
    return nullptr;
  const KeptSet *Base = WholeOnly ? nullptr : keptSet(Held);
  const auto [Found, IsNew] = Snapshots.try_emplace(Base ? Held : 0);
  if (IsNew)
    Found->second = makeSnapshot(Base);
  return &Found->second;
}

SetSnapshot ConfigReplicator::makeSnapshot(const KeptSet *Base) const {
  const AcceptedSet &Current = History.current();
  SetSnapshot Result;
  Result.Node = Given.Node;
  Result.Number = Current.Number;
  Result.Level = Current.Level;
  Result.Hash = Common::hashOf(Kept.back().Text);
  Result.Content.Changed = Kept.back().Text;
  if (!Base)
    return Result;
  SetDelta Change = makeDelta(Base->Text, Kept.back().Text);
  if (Change.size() < Kept.back().Text.size()) {
    Result.Base = Base->Number;
    Result.Content = std::move(Change);
  }
  return Result;
}

const ConfigReplicator::KeptSet *
ConfigReplicator::keptSet(Version Number) const {
  for (const KeptSet &Each : Kept)
    if (Each.Number == Number)
      return &Each;
  return nullptr;
}

const ReplicationPeer *
ConfigReplicator::findPeer(const std::string &Node) const {
  for (const ReplicationPeer &Each : Peers)
    if (Each.Node == Node)
      return &Each;
  return nullptr;
}

Common::Duration ConfigReplicator::jitter(Common::Duration Most) {
  std::uniform_int_distribution<Common::Duration::rep> Pick(0, Most.count());
  return Common::Duration(Pick(Random));
}

} // namespace Config
