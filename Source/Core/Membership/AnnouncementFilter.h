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
  // The data centre that the server states.
  std::string DataCentre;
  // "IP:port" of its HTTP socket.
  std::string Address;
  // Start time of the server process. It identifies the incarnation: a restart
  // under the same name is a new one.
  Common::WallTime StartTime;
  // Increases with each announcement of one incarnation.
  std::int64_t Sequence = 0;
  Common::WallTime ReceivedAt;
  // How much longer the server is slow after its start.
  Common::Millis ColdLeft{0};
};

// The message of a backend server that it is leaving.
struct Departure {
  std::string Server;
  // Start time of the incarnation that leaves, if the server sent it.
  std::optional<Common::WallTime> StartTime;
  Common::WallTime ReceivedAt;
};

// Rejects announcements that arrive late, out of order or from an earlier
// incarnation of the server, and those that contradict what its incarnation
// announced before. A departure is final for its incarnation, whatever
// arrives later, even if the node had not received any announcement of it.
class AnnouncementFilter {
public:
  // Returns Ok if the announcement is the newest one of the server beside this
  // node, else HeartbeatStale or HeartbeatForeign.
  Common::ResultCode handleAnnouncement(const Announcement &Received);
  // Whether the announcement states the incarnation and the service of the
  // server beside this node.
  bool isOfCurrentServer(const Announcement &Received) const;
  // Returns true if the departure ends the current incarnation of the server
  // beside this node.
  bool handleDeparture(const Departure &Received);
  // Adopts a departure that an earlier process of this node accepted. Returns
  // true if it ends the current incarnation.
  bool adoptDeparture(const DepartedServer &Earlier);

  // The last departure, of a known or unknown server.
  const std::optional<DepartedServer> &departed() const { return Departed; }

private:
  // The server beside this node; empty before its first announcement.
  std::string Server;
  std::string Service;
  std::string Address;
  Common::WallTime StartTime;
  std::int64_t Sequence = -1;
  bool HasLeft = false;
  std::optional<DepartedServer> Departed;
};

} // namespace Membership
