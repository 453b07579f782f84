#include "Config/NewestFollower.h"

#include <algorithm>
#include <utility>

namespace Config {

FollowActions NewestFollower::start(Common::SteadyTime Now) {
  NextAsk = Now + Given.AskInterval;
  return read();
}

FollowActions NewestFollower::read() {
  RetryAt.reset();
  // What peers had meanwhile comes with this read.
  if (std::exchange(Gathering, false))
    BehindSince.reset();
  if (!Position)
    return {ReadNewestSet{}};
  return {ReadOnFrom{*Position}};
}

FollowActions NewestFollower::answered(const SourceAnswer &Answer,
                                       Common::SteadyTime Now) {
  if (Answer.Code == Common::ResultCode::Ok) {
    Failing = false;
    Backoff = Given.LeastBackoff;
    Position = Answer.Next;
    if (Answer.Content.empty())
      return read();
    Gathering = true;
    RetryAt = Now + Given.Gather;
    return {};
  }
  if (Answer.Code == Common::ResultCode::LogOffsetExpired) {
    Position.reset();
    return read();
  }
  Failing = true;
  std::uniform_int_distribution<std::int64_t> Jitter(Backoff.count() / 2,
                                                     Backoff.count());
  RetryAt = Now + Common::Micros(Jitter(Random));
  Backoff = std::min(2 * Backoff, Given.MostBackoff);
  return {};
}

bool NewestFollower::offer(Version Number) {
  if (Number <= Held)
    return false;
  Held = Number;
  BehindSince.reset();
  return true;
}

FollowActions NewestFollower::tick(const std::vector<FollowPeer> &Peers,
                                   Common::SteadyTime Now) {
  FollowActions Actions;
  if (RetryAt && Now >= *RetryAt)
    Actions = read();
  const bool IsBehind =
      std::any_of(Peers.begin(), Peers.end(),
                  [this](const FollowPeer &Each) { return Each.Held > Held; });
  if (!IsBehind)
    BehindSince.reset();
  else if (!BehindSince)
    BehindSince = Now;
  if (AskedAt && Now - *AskedAt > Given.AskLimit)
    AskedAt.reset();
  askPeers(Peers, Now, Actions);
  return Actions;
}

void NewestFollower::askPeers(const std::vector<FollowPeer> &Peers,
                              Common::SteadyTime Now, FollowActions &Actions) {
  const bool IsBehind =
      BehindSince && !Gathering && Now - *BehindSince >= Given.PeerDelay;
  if (AskedAt || Peers.empty() || (!IsBehind && (!Failing || Now < NextAsk)))
    return;
  // One that is known to be ahead; without one any may be.
  std::vector<const FollowPeer *> Candidates;
  for (const FollowPeer &Each : Peers)
    if (!IsBehind || Each.Held > Held)
      Candidates.push_back(&Each);
  if (Candidates.empty())
    return;
  AskedAt = Now;
  NextAsk = Now + Given.AskInterval;
  Actions.push_back(AskPeer{Candidates[Random() % Candidates.size()]->Address});
  // The own read should have brought what a peer has: it may be a dead one.
  if (IsBehind && !Failing && !RetryAt) {
    Actions.push_back(CancelRead{});
    for (FollowAction &Each : read())
      Actions.push_back(std::move(Each));
  }
}

} // namespace Config
