#include "Rollout/VersionPlanner.h"

#include <algorithm>
#include <cmath>

#include "Common/Hash.h"

namespace Rollout {

namespace {

// An order reaches all nodes well within this time.
constexpr Common::Millis HoldTime{3'000};
// The share of the calls in a stage, per share that a bad version may get. The
// load stage takes less than a fifth of the time of the roll-out.
constexpr double TrialPerBound = 0.6;
constexpr double LoadPerBound = 2;
// The load of a target server per usual load of a server.
constexpr double TrialLoad = 1;
constexpr double LoadLoad = 1.25;

// From 0 to 1, and different at every node, so that the first calls of all
// nodes do not go to the same version.
double initialCredit(const std::string &Node, const std::string &Service) {
  constexpr int MantissaBits = 53;
  constexpr int HashBits = 64;
  const std::uint64_t Bits = Common::hashOf(Service, Common::hashOf(Node)) >>
                             (HashBits - MantissaBits);
  return std::ldexp(static_cast<double>(Bits), -MantissaBits);
}

int serversFor(double Share, double Load, int BaseServers) {
  return std::max(1, static_cast<int>(Share * BaseServers / Load));
}

} // namespace

Routing::VersionPolicy VersionPlanner::plan(const ProgressTable &Table,
                                            const VersionCounts &Counts,
                                            Common::SteadyTime Now) {
  Routing::VersionPolicy Result;
  for (const auto &[Service, Versions] : Counts) {
    const std::string *Held = versionToHold(Service, Versions, Now);
    const Progress *Known = Table.find(Service);
    Routing::VersionSplit Split;
    Split.InitialCredit = initialCredit(Node, Service);
    if (!Known || !isInForce(*Known, Now)) {
      if (!Held)
        continue;
      Split.Target = *Held;
      Result.emplace(Service, std::move(Split));
      continue;
    }
    Split.Target = Known->Ordered.TargetVersion;
    int BaseServers = 0;
    for (const auto &[Version, Count] : Versions)
      BaseServers += Version == Split.Target ? 0 : Count;
    if (Known->Reached == Stage::Trial) {
      Split.TargetShare = TrialPerBound * Limits.ExposureShare;
      Split.MaxTargetServers =
          serversFor(Split.TargetShare, TrialLoad, BaseServers);
    } else if (Known->Reached == Stage::Load) {
      Split.TargetShare = std::min(LoadPerBound * Limits.ExposureShare, 1.0);
      Split.MaxTargetServers =
          serversFor(Split.TargetShare, LoadLoad, BaseServers);
    } else if (Known->Reached == Stage::Full ||
               Known->Reached == Stage::Completed) {
      Split.TargetShare = 1;
    }
    Result.emplace(Service, std::move(Split));
  }
  return Result;
}

// Versions become established when they are alone, when they have been there
// for HoldTime, or if they have the most servers when this node first sees the
// service.
const std::string *
VersionPlanner::versionToHold(const std::string &Service,
                              const std::map<std::string, int> &Counts,
                              Common::SteadyTime Now) {
  ServiceVersions &State = Services[Service];
  std::erase_if(State.FirstSeen, [&](const auto &Entry) {
    return !Counts.contains(Entry.first);
  });
  std::erase_if(State.Established, [&](const std::string &Version) {
    return !Counts.contains(Version);
  });
  const std::string *Held = nullptr;
  for (const auto &[Version, Count] : Counts) {
    const auto Seen = State.FirstSeen.try_emplace(Version, Now).first;
    if (Now - Seen->second >= HoldTime)
      State.Established.insert(Version);
  }
  if (State.Established.empty() && !Counts.empty())
    State.Established.insert(
        std::max_element(Counts.begin(), Counts.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second < Right.second;
                         })
            ->first);
  for (const auto &[Version, Count] : Counts)
    if (!State.Established.contains(Version))
      Held = &Version;
  return Held;
}

} // namespace Rollout
