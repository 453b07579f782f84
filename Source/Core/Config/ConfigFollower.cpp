#include "Config/ConfigFollower.h"

#include <algorithm>
#include <utility>

#include "Common/Rendezvous.h"

namespace Config {

namespace {

// The reader of a data centre, and the one that takes over.
constexpr std::size_t MaxReaders = 2;

} // namespace

FollowActions ConfigFollower::start(Common::SteadyTime Now) {
  NextAsk = Now;
  RetryAt = Now + Given.MeetTime;
  return {};
}

void ConfigFollower::usePeers(std::vector<FollowPeer> Alive) {
  Peers = std::move(Alive);
  std::vector<std::string> Names{Given.Node};
  for (const FollowPeer &Each : Peers)
    if (Each.DataCentre == Given.DataCentre)
      Names.push_back(Each.Node);
  Readers.clear();
  for (const std::string &Name : Common::rankByRendezvous(
           "reader/" + Given.DataCentre, std::move(Names))) {
    if (Name == Given.Node || Readers.size() >= MaxReaders)
      break;
    Readers.push_back(
        *std::find_if(Peers.begin(), Peers.end(), [&](const FollowPeer &Each) {
          return Each.Node == Name;
        }));
  }
}

// The first set of all comes from the source: the members are hardly known yet.
const FollowPeer *ConfigFollower::readerToAsk(Common::SteadyTime Now) const {
  if (Held == 0 || Failing || Now < OwnReadUntil)
    return nullptr;
  const auto Found =
      std::find_if(Readers.begin(), Readers.end(), [&](const FollowPeer &Each) {
        const auto Until = Distrusted.find(Each.Node);
        return Until == Distrusted.end() || Now >= Until->second;
      });
  return Found == Readers.end() ? nullptr : &*Found;
}

bool ConfigFollower::isReadOverdue(Common::SteadyTime Now) const {
  return ReadingSince && Now - *ReadingSince > ReadWait + ReadSlack;
}

bool ConfigFollower::isInTouch(Common::SteadyTime Now) const {
  // A node that was frozen has not found its read dead yet when it is asked.
  const bool IsLongOverdue =
      ReadingSince && Now - *ReadingSince > ReadWait + 2 * ReadSlack;
  return SourceAnswers && !Failing && !ReaderAskedAt && !IsLongOverdue;
}

FollowActions ConfigFollower::read(Common::SteadyTime Now) {
  RetryAt.reset();
  const bool WasGathering = std::exchange(Gathering, false);
  // What peers had meanwhile comes with this read.
  if (WasGathering)
    BehindSince.reset();
  if (const FollowPeer *Reader = readerToAsk(Now)) {
    ReadingSince.reset();
    SourceAnswers = false;
    ReaderAskedAt = Now;
    AskedReader = Reader->Node;
    return {LongPollReader{Reader->Address, Given.ReaderWait}};
  }
  ReadingSince = Now;
  WasOverdue = false;
  ReadWait = Given.Wait;
  if (!Position)
    return {ReadNewestSet{}};
  // Shows soon whether the source answers.
  if (WasGathering || !SourceAnswers)
    ReadWait = Common::Micros(0);
  return {ReadFrom{*Position, ReadWait}};
}

void ConfigFollower::readProgressed(Common::SteadyTime Now) {
  if (!ReadingSince)
    return;
  ReadingSince = Now;
  ReadWait = Common::Micros(0);
  WasOverdue = false;
}

FollowActions ConfigFollower::readWithoutReader(Common::SteadyTime Now) {
  ReaderAskedAt.reset();
  std::erase_if(Distrusted,
                [&](const auto &Each) { return Now >= Each.second; });
  Distrusted[AskedReader] = Now + Given.OwnReadTime;
  return read(Now);
}

FollowActions ConfigFollower::asked(Common::SteadyTime Now) {
  OwnReadUntil = Now + Given.OwnReadTime;
  if (!ReaderAskedAt)
    return {};
  ReaderAskedAt.reset();
  TakingOver = true;
  return read(Now);
}

FollowActions ConfigFollower::peerAnswered(const std::string &Node,
                                           bool ReadsSource,
                                           Common::SteadyTime Now) {
  AskedAt.reset();
  // The source has to be read when the peer asked is as new as this node.
  if (isNew() && RetryAt && !Failing)
    return read(Now);
  if (!ReaderAskedAt || Node != AskedReader)
    return {};
  ReaderAskedAt.reset();
  return ReadsSource ? read(Now) : readWithoutReader(Now);
}

FollowActions ConfigFollower::peerLost(const std::string &Address,
                                       Common::SteadyTime Now) {
  AskedAt.reset();
  const bool IsReader =
      ReaderAskedAt &&
      std::any_of(Readers.begin(), Readers.end(), [&](const FollowPeer &Each) {
        return Each.Node == AskedReader && Each.Address == Address;
      });
  return IsReader ? readWithoutReader(Now) : FollowActions();
}

FollowActions ConfigFollower::answered(const SourceAnswer &Answer,
                                       Common::SteadyTime Now) {
  const bool WasUsual =
      ReadingSince && Now - *ReadingSince <= ReadWait + Given.ReadSlack;
  ReadingSince.reset();
  TakingOver = false;
  if (Answer.Code == Common::ResultCode::Ok) {
    if (WasUsual)
      ReadSlack = Given.ReadSlack;
    Failing = false;
    Backoff = Given.LeastBackoff;
    Position = Answer.Next;
    SourceAnswers = true;
    if (Answer.Content.empty() || readerToAsk(Now))
      return read(Now);
    Gathering = true;
    RetryAt = Now + Given.Gather;
    return {};
  }
  if (Answer.Code == Common::ResultCode::LogOffsetExpired) {
    Position.reset();
    return read(Now);
  }
  readFailed(Now);
  return {};
}

void ConfigFollower::readFailed(Common::SteadyTime Now) {
  Failing = true;
  std::uniform_int_distribution<std::int64_t> Jitter(Backoff.count() / 2,
                                                     Backoff.count());
  RetryAt = Now + Common::Micros(Jitter(Random));
  Backoff = std::min(2 * Backoff, Given.MostBackoff);
}

bool ConfigFollower::offer(Version Number) {
  if (Number <= Held)
    return false;
  Held = Number;
  BehindSince.reset();
  // The source holds each set since the position: the newest is less to read.
  if (ReaderAskedAt)
    Position.reset();
  return true;
}

FollowActions ConfigFollower::tick(Common::SteadyTime Now) {
  FollowActions Actions;
  const bool IsReaderSilent =
      ReaderAskedAt &&
      Now - *ReaderAskedAt > Given.ReaderWait + Given.ReaderSlack;
  const FollowPeer *Reader = readerToAsk(Now);
  const bool IsReaderOther =
      ReaderAskedAt && (!Reader || Reader->Node != AskedReader);
  const bool IsOverdue = isReadOverdue(Now);
  if (IsOverdue && std::exchange(WasOverdue, IsOverdue)) {
    WasOverdue = false;
    ReadingSince.reset();
    TakingOver = false;
    ReadSlack = std::min(2 * ReadSlack, Given.MostReadSlack);
    readFailed(Now);
    Actions = {CancelRead{}};
  } else if (IsReaderSilent) {
    Actions = readWithoutReader(Now);
  } else if (IsReaderOther) {
    ReaderAskedAt.reset();
    Actions = read(Now);
  } else if (RetryAt && Now >= *RetryAt) {
    Actions = read(Now);
  }
  const bool IsBehind =
      std::any_of(Peers.begin(), Peers.end(),
                  [this](const FollowPeer &Each) { return Each.Held > Held; });
  if (!IsBehind)
    BehindSince.reset();
  else if (!BehindSince)
    BehindSince = Now;
  if (AskedAt && Now - *AskedAt > Given.AskLimit)
    AskedAt.reset();
  askPeers(Now, Actions);
  return Actions;
}

// Those that are known to be ahead; without one any may be.
std::vector<const FollowPeer *>
ConfigFollower::peersToAsk(bool IsBehind) const {
  const bool HasNewer =
      IsBehind || (isNew() && std::any_of(Peers.begin(), Peers.end(),
                                          [](const FollowPeer &Each) {
                                            return Each.Held > 0;
                                          }));
  std::vector<const FollowPeer *> Result;
  for (const FollowPeer &Each : Peers)
    if (!HasNewer || Each.Held > Held)
      Result.push_back(&Each);
  return Result;
}

void ConfigFollower::askPeers(Common::SteadyTime Now, FollowActions &Actions) {
  const bool IsBehind =
      BehindSince && !Gathering && Now - *BehindSince >= Given.PeerDelay;
  const bool MayHelp = IsBehind || ((Failing || isNew()) && Now >= NextAsk);
  if (AskedAt || !MayHelp)
    return;
  const auto Candidates = peersToAsk(IsBehind);
  if (Candidates.empty())
    return;
  AskedAt = Now;
  NextAsk = Now + Given.AskInterval;
  Actions.push_back(
      RequestFromPeer{Candidates[Random() % Candidates.size()]->Address});
  if (isNew() && RetryAt && !Failing)
    RetryAt = Now + Given.AskLimit;
  // The own read should have brought what a peer has: it may be a dead one.
  if (IsBehind && !isNew() && !Failing && !RetryAt && !ReaderAskedAt) {
    SourceAnswers = false;
    Actions.push_back(CancelRead{});
    for (FollowAction &Each : read(Now))
      Actions.push_back(std::move(Each));
  }
}

} // namespace Config
