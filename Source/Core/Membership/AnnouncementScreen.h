#pragma once

#include <string>

#include "Common/ResultCode.h"
#include "Config/ObjectSet.h"
#include "Membership/AnnouncementFilter.h"

namespace Membership {

// Decides whether an announcement can be that of a backend server of this VM.
// Other programs may send announcements as well, and one of them must not take
// the place of the server.
class AnnouncementScreen {
public:
  // Address is the IP address of the VM; empty if it is not known.
  AnnouncementScreen(std::string DataCentre, std::string Address)
      : DataCentre(std::move(DataCentre)), Address(std::move(Address)) {}

  void useSet(Config::ObjectSetPtr Newest) { Set = std::move(Newest); }
  // Without a set it is unknown which services there are.
  bool isReady() const { return Set != nullptr; }
  // Returns Ok, ServiceUnknown or HeartbeatForeign. Requires a set.
  Common::ResultCode check(const Announcement &Received) const;
  // Removes a start time that can't be right from a departure, whose name alone
  // suffices.
  static Departure withoutImpossibleStart(Departure Received);

private:
  std::string DataCentre;
  std::string Address;
  Config::ObjectSetPtr Set;
};

} // namespace Membership
