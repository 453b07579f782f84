#include "Config/ConfigFollower.h"

#include <algorithm>
#include <utility>

#include "Common/Rendezvous.h"

namespace Config {

namespace {

// The reader of the data centre and the node that takes over from it.
constexpr std::size_t MaxReaders = 2;

} // namespace

const char *readerEndName(ReaderEnd Reason) {
  switch (Reason) {
  case ReaderEnd::None:
    return "none";
  case ReaderEnd::Silent:
    return "silent";
  case ReaderEnd::Lost:
    return "lost";
  case ReaderEnd::Disconnected:
    return "disconnected";
  case ReaderEnd::Replaced:
    return "replaced";
  case ReaderEnd::TakeOver:
    return "take-over";
  }
  return "unknown";
}

FollowActions ConfigFollower::start(Common::SteadyTime Now) {
  NextPeerRequest = Now;
  NextReadAt = Now + Options.PeerDiscoveryTime;
  return {};
}

void ConfigFollower::setPeers(std::vector<FollowPeer> Alive) {
  Peers = std::move(Alive);
  std::vector<std::string> Names{Options.Node};
  for (const FollowPeer &Peer : Peers)
    if (Peer.DataCentre == Options.DataCentre)
      Names.push_back(Peer.Node);
  Readers.clear();
  for (const std::string &Name : Common::rankByRendezvous(
           "reader/" + Options.DataCentre, std::move(Names))) {
    if (Name == Options.Node || Readers.size() >= MaxReaders)
      break;
    Readers.push_back(
        *std::find_if(Peers.begin(), Peers.end(), [&](const FollowPeer &Peer) {
          return Peer.Node == Name;
        }));
  }
}

// A node without a set does not long-poll a reader, because it hardly knows the
// other members yet.
const FollowPeer *
ConfigFollower::preferredReader(Common::SteadyTime Now) const {
  if (Held == 0 || ReadFailing || Now < DirectReadUntil)
    return nullptr;
  const auto Found =
      std::find_if(Readers.begin(), Readers.end(), [&](const FollowPeer &Peer) {
        const auto Until = SuspendedReaders.find(Peer.Node);
        return Until == SuspendedReaders.end() || Now >= Until->second;
      });
  return Found == Readers.end() ? nullptr : &*Found;
}

const FollowPeer *ConfigFollower::readerToPoll(Common::SteadyTime Now) const {
  const bool IsUnconfirmed =
      ConfirmedAt && Now - *ConfirmedAt > Options.MaxUnconfirmed;
  return IsUnconfirmed ? nullptr : preferredReader(Now);
}

bool ConfigFollower::isReadOverdue(Common::SteadyTime Now) const {
  return ReadingSince && Now - *ReadingSince > ReadWait + ReadSlack;
}

bool ConfigFollower::isConnectedToSource(Common::SteadyTime Now) const {
  // A node whose VM was frozen may be polled before its next tick detects that
  // its read has timed out.
  const bool IsLongOverdue =
      ReadingSince && Now - *ReadingSince > ReadWait + 2 * ReadSlack;
  return SourceResponding && !ReadFailing && !ReaderPolledAt && !IsLongOverdue;
}

FollowActions ConfigFollower::startRead(Common::SteadyTime Now) {
  NextReadAt.reset();
  const bool WasBatching = std::exchange(Batching, false);
  // This read also returns what the peers received during the delay.
  if (WasBatching)
    BehindSince.reset();
  if (const FollowPeer *Reader = readerToPoll(Now))
    return pollReader(*Reader, Now);
  ReadingSince = Now;
  WasOverdue = false;
  ReadWait = Options.SourceWait;
  if (!Position)
    return {ReadNewestSet{}};
  // A read without a wait shows early whether the source answers.
  if (WasBatching || !SourceResponding)
    ReadWait = Common::Micros(0);
  return {ReadFrom{*Position, ReadWait}};
}

FollowActions ConfigFollower::pollReader(const FollowPeer &Reader,
                                         Common::SteadyTime Now) {
  ReadingSince.reset();
  SourceResponding = false;
  ReaderPolledAt = Now;
  PolledReader = Reader.Node;
  if (!ConfirmedAt)
    ConfirmedAt = Now;
  const Common::SteadyTime RegularLimit = *ConfirmedAt + Options.ReaderSilence;
  const Common::SteadyTime TakeOverLimit = Now + Options.TakeOverSilence;
  ReaderSilentAt = std::max(RegularLimit, TakeOverLimit);
  const bool IsRegular = Now - *ConfirmedAt < Options.TakeOverWait;
  return {LongPollReader{Reader.Address, IsRegular ? Options.ReaderWait
                                                   : Options.TakeOverWait}};
}

bool ConfigFollower::isReaderSilent(Common::SteadyTime Now) const {
  return ReaderPolledAt && Now > ReaderSilentAt;
}

void ConfigFollower::handleReadProgress(Common::SteadyTime Now) {
  if (!ReadingSince)
    return;
  ReadingSince = Now;
  ReadWait = Common::Micros(0);
  WasOverdue = false;
}

FollowActions ConfigFollower::replaceReader(ReaderEnd Reason,
                                            Common::SteadyTime Now) {
  ReaderPolledAt.reset();
  LastReaderEnd = Reason;
  FollowActions Actions = startRead(Now);
  TakingOver = !ReaderPolledAt;
  return Actions;
}

FollowActions ConfigFollower::handleReaderFailure(ReaderEnd Reason,
                                                  Common::SteadyTime Now) {
  std::erase_if(SuspendedReaders,
                [&](const auto &Entry) { return Now >= Entry.second; });
  SuspendedReaders[PolledReader] = Now + Options.DirectReadTime;
  return replaceReader(Reason, Now);
}

FollowActions ConfigFollower::handleLongPoll(Common::SteadyTime Now) {
  DirectReadUntil = Now + Options.DirectReadTime;
  return ReaderPolledAt ? replaceReader(ReaderEnd::TakeOver, Now)
                        : FollowActions();
}

FollowActions ConfigFollower::handlePeerAnswer(const std::string &Node,
                                               bool ReadsSource,
                                               Common::SteadyTime Now) {
  PeerRequestedAt.reset();
  // The requested peer has no set either, so this node reads the source now.
  if (hasNoSet() && NextReadAt && !ReadFailing)
    return startRead(Now);
  if (!ReaderPolledAt || Node != PolledReader)
    return {};
  if (!ReadsSource)
    return handleReaderFailure(ReaderEnd::Disconnected, Now);
  ReaderPolledAt.reset();
  ConfirmedAt = Now;
  return startRead(Now);
}

FollowActions ConfigFollower::handlePeerLost(const std::string &Address,
                                             Common::SteadyTime Now) {
  PeerRequestedAt.reset();
  const bool IsReader =
      ReaderPolledAt &&
      std::any_of(Readers.begin(), Readers.end(), [&](const FollowPeer &Peer) {
        return Peer.Node == PolledReader && Peer.Address == Address;
      });
  return IsReader ? handleReaderFailure(ReaderEnd::Lost, Now) : FollowActions();
}

bool ConfigFollower::isUsable(const SourceAnswer &Answer) const {
  switch (Eras.compare(Answer.Era)) {
  case Recovery::EraOrder::Same:
  case Recovery::EraOrder::First:
    return true;
  case Recovery::EraOrder::Later:
    // A read of the newest set depends on no position.
    return !Position;
  case Recovery::EraOrder::Earlier:
    return false;
  }
  return false;
}

FollowActions
ConfigFollower::handleEra(std::optional<Recovery::StoreEra> Stated,
                          Common::SteadyTime Now) {
  if (Eras.observe(Stated) != Recovery::EraOrder::Later)
    return {};
  Position.reset();
  if (!ReadingSince)
    return {};
  FollowActions Actions{CancelRead{}};
  for (FollowAction &Action : startRead(Now))
    Actions.push_back(std::move(Action));
  return Actions;
}

FollowActions ConfigFollower::handleSourceAnswer(const SourceAnswer &Answer,
                                                 Common::SteadyTime Now) {
  const bool IsUsable = isUsable(Answer);
  if (Eras.observe(Answer.Era) == Recovery::EraOrder::Later)
    Position.reset();
  const bool WasInTime =
      ReadingSince && Now - *ReadingSince <= ReadWait + Options.MinReadSlack;
  ReadingSince.reset();
  if (Answer.Code == Common::ResultCode::Ok && !IsUsable)
    return startRead(Now);
  TakingOver = false;
  if (Answer.Code == Common::ResultCode::Ok) {
    if (WasInTime)
      ReadSlack = Options.MinReadSlack;
    ReadFailing = false;
    Backoff = Options.MinBackoff;
    Position = Answer.Next;
    SourceResponding = true;
    ConfirmedAt = Now;
    if (Answer.Content.empty() || readerToPoll(Now))
      return startRead(Now);
    Batching = true;
    NextReadAt = Now + Options.BatchDelay;
    return {};
  }
  if (Answer.Code == Common::ResultCode::LogOffsetExpired) {
    Position.reset();
    return startRead(Now);
  }
  scheduleRetry(Now);
  return {};
}

void ConfigFollower::scheduleRetry(Common::SteadyTime Now) {
  ReadFailing = true;
  std::uniform_int_distribution<std::int64_t> Jitter(Backoff.count() / 2,
                                                     Backoff.count());
  NextReadAt = Now + Common::Micros(Jitter(Random));
  Backoff = std::min(2 * Backoff, Options.MaxBackoff);
}

bool ConfigFollower::adoptVersion(Version Offered) {
  if (Offered <= Held)
    return false;
  Held = Offered;
  BehindSince.reset();
  // A read from the old position would return every set since then. Reading
  // just the newest set transfers less.
  if (ReaderPolledAt)
    Position.reset();
  return true;
}

FollowActions ConfigFollower::tick(Common::SteadyTime Now) {
  FollowActions Actions;
  const FollowPeer *Reader = preferredReader(Now);
  const bool IsReaderReplaced =
      ReaderPolledAt && (!Reader || Reader->Node != PolledReader);
  const bool IsOverdue = isReadOverdue(Now);
  if (IsOverdue && std::exchange(WasOverdue, IsOverdue)) {
    WasOverdue = false;
    ReadingSince.reset();
    TakingOver = false;
    ReadSlack = std::min(2 * ReadSlack, Options.MaxReadSlack);
    scheduleRetry(Now);
    Actions = {CancelRead{}};
  } else if (isReaderSilent(Now)) {
    Actions = handleReaderFailure(ReaderEnd::Silent, Now);
  } else if (IsReaderReplaced) {
    Actions = replaceReader(ReaderEnd::Replaced, Now);
  } else if (NextReadAt && Now >= *NextReadAt) {
    Actions = startRead(Now);
  }
  const bool IsBehind =
      std::any_of(Peers.begin(), Peers.end(),
                  [this](const FollowPeer &Peer) { return Peer.Held > Held; });
  if (!IsBehind)
    BehindSince.reset();
  else if (!BehindSince)
    BehindSince = Now;
  if (PeerRequestedAt && Now - *PeerRequestedAt > Options.PeerRequestTimeout)
    PeerRequestedAt.reset();
  requestFromPeers(Now, Actions);
  return Actions;
}

// The peers that are known to have a newer set, or all peers if there is none.
std::vector<const FollowPeer *>
ConfigFollower::requestCandidates(bool IsBehind) const {
  const bool HasNewer =
      IsBehind || (hasNoSet() && std::any_of(Peers.begin(), Peers.end(),
                                             [](const FollowPeer &Peer) {
                                               return Peer.Held > 0;
                                             }));
  std::vector<const FollowPeer *> Result;
  for (const FollowPeer &Peer : Peers)
    if (!HasNewer || Peer.Held > Held)
      Result.push_back(&Peer);
  return Result;
}

void ConfigFollower::requestFromPeers(Common::SteadyTime Now,
                                      FollowActions &Actions) {
  const bool IsBehind = BehindSince && !Batching &&
                        Now - *BehindSince >= Options.PeerRequestDelay;
  const bool ShouldRequest =
      IsBehind || ((ReadFailing || hasNoSet()) && Now >= NextPeerRequest);
  if (PeerRequestedAt || !ShouldRequest)
    return;
  const auto Candidates = requestCandidates(IsBehind);
  if (Candidates.empty())
    return;
  PeerRequestedAt = Now;
  NextPeerRequest = Now + Options.PeerRequestInterval;
  Actions.push_back(
      RequestFromPeer{Candidates[Random() % Candidates.size()]->Address});
  if (hasNoSet() && NextReadAt && !ReadFailing)
    NextReadAt = Now + Options.PeerRequestTimeout;
  // The pending read should have returned the peer's set already, so its
  // connection may be lost.
  if (IsBehind && !hasNoSet() && !ReadFailing && !NextReadAt &&
      !ReaderPolledAt) {
    SourceResponding = false;
    Actions.push_back(CancelRead{});
    for (FollowAction &Action : startRead(Now))
      Actions.push_back(std::move(Action));
  }
}

} // namespace Config
