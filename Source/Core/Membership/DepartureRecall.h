#pragma once

#include <cstddef>

#include "Common/Time.h"

namespace Membership {

// Decides when a node that has just started knows which backend server has left
// it, so that it can tell a late announcement from a current one. The directory
// holds all recorded departures. While it is away, the other nodes suffice,
// which learned of the departure before it was acknowledged. A node that
// reaches neither has no configuration and serves no calls.
class DepartureRecall {
public:
  // The time in which the other nodes report what they know.
  static constexpr Common::Millis PeerReportTime{1000};

  explicit DepartureRecall(Common::SteadyTime StartedAt)
      : StartedAt(StartedAt) {}

  void onListed() { IsListed = true; }
  // Sets the number of nodes that are known to be alive, this one included.
  void setLiveMembers(std::size_t Count) { HasPeers = Count > 1; }
  bool isComplete(Common::SteadyTime Now) const {
    return IsListed || (HasPeers && Now - StartedAt >= PeerReportTime);
  }

private:
  Common::SteadyTime StartedAt;
  bool IsListed = false;
  bool HasPeers = false;
};

} // namespace Membership
