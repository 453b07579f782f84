#pragma once

#include <optional>
#include <string>

#include "Common/Time.h"
#include "Membership/Member.h"

namespace Membership {

// The lease by which the backend server beside this node is offered to others.
// Each announcement renews it. It is judged by the time alone, so that a node
// that was stopped does not go on with a lease that lapsed meanwhile.
class ServerLease {
public:
  explicit ServerLease(Common::Duration Limit) : Limit(Limit) {}

  // True when others have to be told of it.
  bool renew(const Endpoint &Server, Common::SteadyTime Now) {
    const bool IsNews = !Held || !(*Held == Server);
    Held = Server;
    RenewedAt = Now;
    return IsNews;
  }

  // The server whose lease has just ended.
  std::optional<std::string> lapse(Common::SteadyTime Now) {
    if (!Held || Now - RenewedAt <= Limit)
      return std::nullopt;
    return release(Held->Server);
  }

  // The server if it held the lease.
  std::optional<std::string> release(const std::string &Server) {
    if (!Held || Held->Server != Server)
      return std::nullopt;
    Held.reset();
    return Server;
  }

private:
  Common::Duration Limit;
  std::optional<Endpoint> Held;
  Common::SteadyTime RenewedAt;
};

} // namespace Membership
