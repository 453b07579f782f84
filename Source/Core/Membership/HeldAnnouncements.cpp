#include "Membership/HeldAnnouncements.h"

#include <utility>

namespace Membership {

void HeldAnnouncements::add(const Announcement &Received,
                            Common::SteadyTime Now) {
  std::erase_if(Entries, [&](const Entry &Held) {
    return Held.Received.Server.Server == Received.Server.Server &&
           Held.Received.StartTime == Received.StartTime &&
           Held.Received.Sequence < Received.Sequence;
  });
  if (Entries.size() == MaxServers)
    Entries.erase(Entries.begin());
  Entries.push_back({Received, Now});
}

std::vector<Announcement> HeldAnnouncements::take(Common::SteadyTime Now) {
  std::vector<Announcement> Result;
  for (Entry &Held : std::exchange(Entries, {}))
    if (Now - Held.HeldSince <= MaxAge)
      Result.push_back(std::move(Held.Received));
  return Result;
}

} // namespace Membership
