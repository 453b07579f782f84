#include "Membership/AnnouncementFilter.h"

namespace Membership {

Common::ResultCode
AnnouncementFilter::handleAnnouncement(const Announcement &Received) {
  const bool IsSameIncarnation =
      Received.Server.Server == Server && Received.StartTime == StartTime;
  const bool IsStale = IsSameIncarnation
                           ? HasLeft || Received.Sequence <= Sequence
                           : !Server.empty() && Received.StartTime <= StartTime;
  const bool HasDeparted = Departed &&
                           Departed->Server == Received.Server.Server &&
                           Received.StartTime <= Departed->LastStart;
  if (IsStale || HasDeparted)
    return Common::ResultCode::HeartbeatStale;
  if (IsSameIncarnation &&
      (Received.Server.Service != Service || Received.Address != Address))
    return Common::ResultCode::HeartbeatForeign;
  Server = Received.Server.Server;
  Service = Received.Server.Service;
  Address = Received.Address;
  StartTime = Received.StartTime;
  Sequence = Received.Sequence;
  HasLeft = Received.Server.Leaving;
  if (HasLeft)
    Departed = DepartedServer{Server, StartTime, Received.ReceivedAt};
  return Common::ResultCode::Ok;
}

bool AnnouncementFilter::isOfCurrentServer(const Announcement &Received) const {
  return Received.Server.Server == Server && Received.StartTime == StartTime &&
         Received.Server.Service == Service;
}

bool AnnouncementFilter::handleDeparture(const Departure &Received) {
  // A late departure of an earlier incarnation, or of an earlier server. Its
  // announcements are stale in any case.
  if (!Server.empty() && Received.StartTime && *Received.StartTime < StartTime)
    return false;
  const bool IsCurrent = Received.Server == Server;
  if (IsCurrent && HasLeft)
    return true;
  Departed = DepartedServer{
      Received.Server,
      Received.StartTime.value_or(IsCurrent ? StartTime : Received.ReceivedAt),
      Received.ReceivedAt};
  HasLeft = HasLeft || IsCurrent;
  return IsCurrent;
}

bool AnnouncementFilter::adoptDeparture(const DepartedServer &Earlier) {
  if (!Departed || Departed->ReceivedAt < Earlier.ReceivedAt)
    Departed = Earlier;
  if (HasLeft || Earlier.Server != Server || StartTime > Earlier.LastStart)
    return false;
  HasLeft = true;
  return true;
}

} // namespace Membership
