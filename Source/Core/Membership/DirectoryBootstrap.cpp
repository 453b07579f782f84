#include "Membership/DirectoryBootstrap.h"

#include <algorithm>
#include <map>

namespace Membership {

namespace {

constexpr Common::Millis FirstDelay{200};
constexpr int MaxDoublings = 4;
// Nodes of each other data centre that are asked what is there. One of them may
// be gone.
constexpr std::size_t SeedsPerForeign = 2;

} // namespace

DirectoryStep Introducer::next(Common::SteadyTime Now) {
  if (Busy || Now < NextAt || (Joined && Announced && Listed))
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

Introductions Introducer::listed(bool Done,
                                 const std::vector<DirectoryEntry> &Found,
                                 Common::SteadyTime Now) {
  Busy = false;
  wait(Now);
  Introductions Result;
  if (!Done)
    return Result;
  Listed = true;
  std::map<std::string, std::vector<Place>> Foreign;
  for (const DirectoryEntry &Each : Found)
    (Each.DataCentre == DataCentre ? Result.Home : Foreign[Each.DataCentre])
        .push_back(Each.Where);
  for (auto &[Name, Places] : Foreign) {
    std::shuffle(Places.begin(), Places.end(), Random);
    Places.resize(std::min(Places.size(), SeedsPerForeign));
    Result.Foreign.insert(Result.Foreign.end(), Places.begin(), Places.end());
  }
  return Result;
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
