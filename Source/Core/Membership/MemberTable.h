#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Membership/Member.h"
#include "Routing/ServerView.h"

namespace Membership {

// What one node knows about all nodes: kept by heartbeats that carry each
// node's own state, and dropped when they stop.
class MemberTable {
public:
  MemberTable(Member Self, Common::Duration FailureLimit);

  // Takes over what is newer than what is known. Only what a member tells of
  // itself, FromItself, shows that it lives.
  void merge(const Member &Heard, bool FromItself, Common::SteadyTime Now);
  // Marks the silent as dead and forgets the long dead.
  void expire(Common::SteadyTime Now);

  void announce(const Endpoint &Server);
  void withdraw(const std::string &Server);
  // Tells that this node is leaving.
  void leave();
  void setConfigVersion(std::int64_t Version);

  const Member &self() const { return Self; }
  std::vector<Member> others() const;
  Routing::ServerViewPtr servers() const;

private:
  struct Known {
    Member State;
    Common::SteadyTime HeardAt;
  };

  Member Self;
  Common::Duration FailureLimit;
  std::map<std::string, Known> Others;
};

} // namespace Membership
