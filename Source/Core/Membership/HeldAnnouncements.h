#pragma once

#include <vector>

#include "Common/Time.h"
#include "Membership/AnnouncementFilter.h"

namespace Membership {

// The newest announcement of each server while a node that has just started
// does not know yet which of them it may use.
class HeldAnnouncements {
public:
  void add(const Announcement &Received, Common::SteadyTime Now);
  // Removes all announcements and returns those that are not outdated, oldest
  // first.
  std::vector<Announcement> take(Common::SteadyTime Now);

private:
  // A server repeats its announcement about every one and a half seconds.
  static constexpr Common::Millis MaxAge{4'000};
  static constexpr std::size_t MaxServers = 16;

  struct Entry {
    Announcement Received;
    Common::SteadyTime HeldSince;
  };

  std::vector<Entry> Entries;
};

} // namespace Membership
