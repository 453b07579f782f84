#include "Membership/DirectoryBootstrap.h"

#include <algorithm>
#include <map>

namespace Membership {

namespace {

constexpr Common::Millis InitialDelay{200};
constexpr int MaxDoublings = 4;
// Nodes of each other data centre whose member list is requested. One of them
// may be gone.
constexpr std::size_t PeersPerRemoteDataCentre = 2;

} // namespace

DirectoryStep DirectoryBootstrap::nextStep(Common::SteadyTime Now) {
  if (RequestPending || Now < NextAt || (Joined && Announced && Listed))
    return DirectoryStep::None;
  RequestPending = true;
  return Announced ? DirectoryStep::List : DirectoryStep::Announce;
}

void DirectoryBootstrap::onAnnounced(bool Succeeded, Common::SteadyTime Now) {
  RequestPending = false;
  Announced = Announced || Succeeded;
  if (Succeeded)
    Attempts = 0;
  else
    scheduleRetry(Now);
}

BootstrapPeers
DirectoryBootstrap::onListed(bool Succeeded,
                             const std::vector<DirectoryEntry> &Entries,
                             Common::SteadyTime Now) {
  RequestPending = false;
  scheduleRetry(Now);
  BootstrapPeers Result;
  if (!Succeeded)
    return Result;
  // A list that was requested before a restart may lack the nodes that announce
  // themselves again.
  Listed = Announced;
  std::map<std::string, std::vector<SocketAddress>> RemoteByDataCentre;
  for (const DirectoryEntry &Entry : Entries)
    (Entry.DataCentre == DataCentre ? Result.Local
                                    : RemoteByDataCentre[Entry.DataCentre])
        .push_back(Entry.MemberAddress);
  for (auto &[Name, Addresses] : RemoteByDataCentre) {
    std::shuffle(Addresses.begin(), Addresses.end(), Random);
    Addresses.resize(std::min(Addresses.size(), PeersPerRemoteDataCentre));
    Result.Remote.insert(Result.Remote.end(), Addresses.begin(),
                         Addresses.end());
  }
  return Result;
}

void DirectoryBootstrap::restart(Common::SteadyTime Now) {
  Announced = false;
  Listed = false;
  Attempts = 0;
  NextAt = Now;
}

void DirectoryBootstrap::setLiveMembers(std::size_t Count) {
  const bool IsJoined = Count > 1;
  if (Joined && !IsJoined)
    Attempts = 0;
  Joined = IsJoined;
}

// The delay doubles with each attempt and is jittered, so that nodes that
// started together do not retry in step.
void DirectoryBootstrap::scheduleRetry(Common::SteadyTime Now) {
  const auto MaxDelay =
      InitialDelay * (1 << std::min(Attempts++, MaxDoublings));
  const auto MaxMicros =
      std::chrono::duration_cast<Common::Micros>(MaxDelay).count();
  std::uniform_int_distribution<std::int64_t> Jitter(MaxMicros / 2, MaxMicros);
  NextAt = Now + Common::Micros(Jitter(Random));
}

} // namespace Membership
