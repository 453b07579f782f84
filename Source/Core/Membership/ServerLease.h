#pragma once

#include <optional>
#include <string>

#include "Common/Time.h"
#include "Membership/Member.h"

namespace Membership {

// The lease under which the backend server beside this node is announced to
// other nodes. Each announcement of the server renews it. Expiry depends only
// on the time, so a node that was paused does not continue a lease that expired
// meanwhile.
class ServerLease {
public:
  explicit ServerLease(Common::Duration LeaseTime) : LeaseTime(LeaseTime) {}

  // Returns true if the server is new or changed and has to be disseminated.
  bool renew(const Endpoint &Server, Common::SteadyTime Now) {
    const bool HasChanged = !Leased || !(*Leased == Server);
    Leased = Server;
    RenewedAt = Now;
    return HasChanged;
  }

  // Ends the lease if it has expired, and returns the server that held it.
  std::optional<std::string> expire(Common::SteadyTime Now) {
    if (!Leased || Now - RenewedAt <= LeaseTime)
      return std::nullopt;
    return release(Leased->Server);
  }

  // Ends the lease of the server, and returns the server if it held the lease.
  std::optional<std::string> release(const std::string &Server) {
    if (!Leased || Leased->Server != Server)
      return std::nullopt;
    Leased.reset();
    return Server;
  }

private:
  Common::Duration LeaseTime;
  std::optional<Endpoint> Leased;
  Common::SteadyTime RenewedAt;
};

} // namespace Membership
