#include "Membership/AnnouncementFilter.h"

namespace Membership {

Common::ResultCode
AnnouncementFilter::handleAnnouncement(const Announcement &Received) {
  const bool IsSameIncarnation =
      Received.Server.Server == Server && Received.StartTime == StartTime;
  const bool IsStale = IsSameIncarnation
                           ? HasLeft || Received.Sequence <= Sequence
                           : !Server.empty() && Received.StartTime <= StartTime;
  const bool HasDeparted =
      UnknownDeparture && UnknownDeparture->Server == Received.Server.Server &&
      Received.StartTime <=
          UnknownDeparture->StartTime.value_or(UnknownDeparture->ReceivedAt);
  if (IsStale || HasDeparted)
    return Common::ResultCode::HeartbeatStale;
  Server = Received.Server.Server;
  StartTime = Received.StartTime;
  Sequence = Received.Sequence;
  HasLeft = Received.Server.Leaving;
  return Common::ResultCode::Ok;
}

bool AnnouncementFilter::handleDeparture(const Departure &Received) {
  if (Received.Server != Server) {
    UnknownDeparture = Received;
    return false;
  }
  // A late departure of an earlier incarnation.
  if (Received.StartTime && *Received.StartTime < StartTime)
    return false;
  HasLeft = true;
  return true;
}

} // namespace Membership
