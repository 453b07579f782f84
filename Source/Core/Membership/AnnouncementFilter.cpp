#include "Membership/AnnouncementFilter.h"

namespace Membership {

Common::ResultCode AnnouncementGate::take(const Announcement &Heard) {
  const bool IsSameLife = Heard.Server.Server == Server && Heard.Born == Born;
  const bool IsStale = IsSameLife ? Left || Heard.Sequence <= Sequence
                                  : !Server.empty() && Heard.Born <= Born;
  const bool HasLeft = Stranger && Stranger->Server == Heard.Server.Server &&
                       Heard.Born <= Stranger->Born.value_or(Stranger->HeardAt);
  if (IsStale || HasLeft)
    return Common::ResultCode::HeartbeatStale;
  Server = Heard.Server.Server;
  Born = Heard.Born;
  Sequence = Heard.Sequence;
  Left = Heard.Server.Leaving;
  return Common::ResultCode::Ok;
}

bool AnnouncementGate::leave(const Departure &Heard) {
  if (Heard.Server != Server) {
    Stranger = Heard;
    return false;
  }
  // Of an earlier life, and late.
  if (Heard.Born && *Heard.Born < Born)
    return false;
  Left = true;
  return true;
}

} // namespace Membership
