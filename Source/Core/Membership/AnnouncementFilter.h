#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Common/ResultCode.h"
#include "Common/Time.h"
#include "Membership/Member.h"

namespace Membership {

// The heartbeat that a backend server sends to the node beside it.
struct Announcement {
  Endpoint Server;
  // "IP:port" of its HTTP socket.
  std::string Address;
  // Start time of the server process. It identifies the incarnation: a restart
  // under the same name is a new one.
  Common::WallTime StartTime;
  // Increases with each announcement of one incarnation.
  std::int64_t Sequence = 0;
};

// The message of a backend server that it is leaving.
struct Departure {
  std::string Server;
  // Start time of the incarnation that leaves, if the server sent it.
  std::optional<Common::WallTime> StartTime;
  Common::WallTime ReceivedAt;
};

// Rejects announcements that arrive late, out of order or from an earlier
// incarnation of the server. A departure is final for its incarnation, whatever
// arrives later, even if the node had not received any announcement of it.
class AnnouncementFilter {
public:
  // Returns Ok if the announcement is the newest one of the server beside this
  // node, else HeartbeatStale.
  Common::ResultCode handleAnnouncement(const Announcement &Received);
  // Returns true if the departure ends the current incarnation of the server
  // beside this node.
  bool handleDeparture(const Departure &Received);

private:
  std::string Server;
  Common::WallTime StartTime;
  std::int64_t Sequence = -1;
  bool HasLeft = false;
  // The last departure of a server that was not known.
  std::optional<Departure> UnknownDeparture;
};

} // namespace Membership
