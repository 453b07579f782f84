#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Membership/Member.h"
#include "Routing/ServerView.h"

namespace Membership {

// What one node holds about all others. An update takes the place of what is
// known when its incarnation is higher, or equal with a worse state; so each
// node alone can refute what others say of it.
class MemberTable {
public:
  explicit MemberTable(Member Self);

  // True when the update changed what is held, this node's own state included.
  bool merge(const Member &Heard, Common::SteadyTime Now);
  // Takes over a version that a member told in passing.
  void hearVersion(const std::string &Node, std::int64_t Version);

  // False when the node is not known as alive.
  bool suspect(const std::string &Node, Common::SteadyTime Now);
  // Marks as dead who has been suspected for SuspicionLimit, and forgets who
  // has been gone for ForgetLimit. Returns the newly dead.
  std::vector<Member> expire(Common::SteadyTime Now,
                             Common::Duration SuspicionLimit,
                             Common::Duration ForgetLimit);
  // Lets every suspicion begin anew: this node did not listen for a while.
  void restartSuspicions(Common::SteadyTime Now);

  void announce(const Endpoint &Server);
  void withdraw(const std::string &Server);
  // Tells that this node is leaving.
  void leave();
  // Makes what this node tells of itself the newest word on it.
  void raiseIncarnation();
  void setConfigVersion(std::int64_t Version);

  // Grows with each change but those of versions.
  std::uint64_t revision() const { return Revision; }
  const Member &self() const { return Self; }
  // Null for a node that is not known.
  const Member *find(const std::string &Node) const;
  std::vector<const Member *> others() const;
  Routing::ServerViewPtr servers() const;
  // Equal for tables that hold the same nodes as alive.
  std::uint64_t digest() const;

private:
  struct Known {
    Member State;
    Common::SteadyTime Since;
  };

  bool mergeSelf(const Member &Heard);

  Member Self;
  std::uint64_t Revision = 0;
  std::map<std::string, Known> Others;
};

// Suspected members are still served to: most suspicions are refuted.
bool isLive(const Member &Each);

} // namespace Membership
