#include "Membership/AnnouncementScreen.h"

namespace Membership {

namespace {

// Clocks of a VM and its server differ by less. A server that started later
// than that would replace all servers after it.
constexpr std::chrono::minutes MaxClockDifference{1};

bool isFromTheFuture(Common::WallTime StartTime, Common::WallTime ReceivedAt) {
  return StartTime > ReceivedAt + MaxClockDifference;
}

} // namespace

Common::ResultCode
AnnouncementScreen::check(const Announcement &Received) const {
  if (!Set->services().contains(Received.Server.Service))
    return Common::ResultCode::ServiceUnknown;
  const bool IsOnThisVm =
      Address.empty() ||
      Received.Address.substr(0, Received.Address.rfind(':')) == Address;
  if (Received.DataCentre != DataCentre || !IsOnThisVm ||
      isFromTheFuture(Received.StartTime, Received.ReceivedAt))
    return Common::ResultCode::HeartbeatForeign;
  return Common::ResultCode::Ok;
}

Departure AnnouncementScreen::withoutImpossibleStart(Departure Received) {
  if (Received.StartTime &&
      isFromTheFuture(*Received.StartTime, Received.ReceivedAt))
    Received.StartTime.reset();
  return Received;
}

} // namespace Membership
