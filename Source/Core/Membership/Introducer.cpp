#include "Membership/Introducer.h"

#include <algorithm>

namespace Membership {

namespace {

constexpr Common::Millis FirstDelay{200};
constexpr int MaxDoublings = 4;
// Foreign entries that are used beside those of the own data centre: they
// serve when no neighbour is there, and to hear of the other data centres.
constexpr std::size_t ForeignSeeds = 3;

} // namespace

DirectoryStep Introducer::next(Common::SteadyTime Now) {
  if (Busy || Now < NextAt || (Joined && Announced))
    return DirectoryStep::None;
  Busy = true;
  return Announced ? DirectoryStep::List : DirectoryStep::Announce;
}

void Introducer::announced(bool Done, Common::SteadyTime Now) {
  Busy = false;
  Announced = Announced || Done;
  if (Done)
    Tries = 0;
  else
    wait(Now);
}

std::vector<Place> Introducer::listed(bool Done,
                                      const std::vector<DirectoryEntry> &Found,
                                      Common::SteadyTime Now) {
  Busy = false;
  wait(Now);
  std::vector<Place> Own;
  std::vector<Place> Foreign;
  if (Done)
    for (const DirectoryEntry &Each : Found)
      (Each.DataCentre == DataCentre ? Own : Foreign).push_back(Each.Where);
  std::shuffle(Foreign.begin(), Foreign.end(), Random);
  for (std::size_t I = 0; I < std::min(ForeignSeeds, Foreign.size()); ++I)
    Own.push_back(Foreign[I]);
  return Own;
}

void Introducer::membersKnown(std::size_t Count) {
  const bool IsJoined = Count > 1;
  if (Joined && !IsJoined)
    Tries = 0;
  Joined = IsJoined;
}

// Doubled and jittered, so that a herd does not return in step.
void Introducer::wait(Common::SteadyTime Now) {
  const auto Longest = FirstDelay * (1 << std::min(Tries++, MaxDoublings));
  const auto Most = std::chrono::duration_cast<Common::Micros>(Longest).count();
  std::uniform_int_distribution<std::int64_t> Jitter(Most / 2, Most);
  NextAt = Now + Common::Micros(Jitter(Random));
}

} // namespace Membership
