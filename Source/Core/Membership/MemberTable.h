#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Membership/Member.h"
#include "Routing/ServerView.h"

namespace Membership {

// The state that one node has recorded for all others. An update replaces the
// recorded state if its incarnation is higher, or if the incarnation is equal
// and the state comes later in Health. Only a node itself raises its
// incarnation, so only that node can refute what others report about it.
class MemberTable {
public:
  explicit MemberTable(Member Self);

  // Returns true if the update changed the recorded state of a member or of
  // this node.
  bool merge(const Member &Update, Common::SteadyTime Now);
  // Records the configuration version that a member reported in a datagram.
  void mergeConfigVersion(const std::string &Node, std::int64_t Version);

  // Marks a member as suspect. Returns false if it is not recorded as alive.
  bool suspect(const std::string &Node, Common::SteadyTime Now);
  // Marks members as dead that have been suspect for SuspicionTimeout, and
  // removes members that have been dead or left for longer than DeadRetention.
  // Returns the members that are newly dead.
  std::vector<Member> expire(Common::SteadyTime Now,
                             Common::Duration SuspicionTimeout,
                             Common::Duration DeadRetention);
  // Restarts the timeout of every suspicion, after a pause in which this node
  // received nothing.
  void restartSuspicions(Common::SteadyTime Now);

  void announce(const Endpoint &Server);
  void withdraw(const std::string &Server);
  // Records a departure of the backend server beside this node.
  void recordDeparture(const DepartedServer &Departed);
  // Marks this node as leaving.
  void leave();
  // Raises this node's incarnation, so that its own state replaces what others
  // have recorded for it.
  void raiseIncarnation();
  void setConfigVersion(std::int64_t Version);

  // Increases with each change, except for changes of configuration versions.
  std::uint64_t revision() const { return Revision; }
  const Member &self() const { return Self; }
  // Returns null for an unknown node.
  const Member *find(const std::string &Node) const;
  std::vector<const Member *> others() const;
  Routing::ServerViewPtr servers() const;
  // A hash of the live nodes and their incarnations. It is equal for tables
  // with the same live nodes.
  std::uint64_t digest() const;

private:
  struct KnownMember {
    Member Info;
    Common::SteadyTime StateSince;
  };

  bool mergeSelf(const Member &Update);

  Member Self;
  std::uint64_t Revision = 0;
  std::map<std::string, KnownMember> Others;
};

// Suspect members count as live and still get calls, because most suspicions
// are refuted.
bool isLive(const Member &Subject);

} // namespace Membership
