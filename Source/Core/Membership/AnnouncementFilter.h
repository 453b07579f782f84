#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Common/ResultCode.h"
#include "Common/Time.h"
#include "Membership/Member.h"

namespace Membership {

// What a backend server says of itself to the node beside it.
struct Announcement {
  Endpoint Server;
  // "IP:port" of its HTTP socket.
  std::string Address;
  // When this life of the server began. A server that starts again under its
  // name is another one.
  Common::WallTime Born;
  // Grows with each announcement of one life.
  std::int64_t Sequence = 0;
};

// A backend server says that it leaves.
struct Departure {
  std::string Server;
  // When the life that ends began; none when the server did not say.
  std::optional<Common::WallTime> Born;
  Common::WallTime HeardAt;
};

// Judges announcements that may come late, out of order or from an earlier
// life. Leaving is final for one life, whatever arrives after it, also where
// the node had not heard of that life before.
class AnnouncementGate {
public:
  // Ok when it is the newest word on the server beside this node.
  Common::ResultCode take(const Announcement &Heard);
  // Whether the server beside this node leaves by that.
  bool leave(const Departure &Heard);

private:
  std::string Server;
  Common::WallTime Born;
  std::int64_t Sequence = -1;
  bool Left = false;
  // The last one of a server that was not known.
  std::optional<Departure> Stranger;
};

} // namespace Membership
