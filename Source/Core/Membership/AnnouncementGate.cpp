#include "Membership/AnnouncementGate.h"

namespace Membership {

Common::ResultCode AnnouncementGate::take(const Announcement &Heard) {
  const bool IsSameLife = Heard.Server.Server == Server && Heard.Born == Born;
  const bool IsStale = IsSameLife ? Left || Heard.Sequence <= Sequence
                                  : !Server.empty() && Heard.Born <= Born;
  if (IsStale)
    return Common::ResultCode::HeartbeatStale;
  Server = Heard.Server.Server;
  Born = Heard.Born;
  Sequence = Heard.Sequence;
  Left = Heard.Server.Leaving;
  return Common::ResultCode::Ok;
}

bool AnnouncementGate::leave(const std::string &Leaver) {
  if (Leaver != Server)
    return false;
  Left = true;
  return true;
}

} // namespace Membership
