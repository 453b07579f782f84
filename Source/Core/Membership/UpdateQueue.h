#pragma once

#include <map>
#include <string>
#include <vector>

#include "Membership/Member.h"

namespace Membership {

// Updates that are still to be sent to other nodes. Each is sent a bounded
// number of times.
class UpdateQueue {
public:
  // Replaces an earlier update about the same node.
  void push(const Member &Update);
  // Returns the least sent updates that fit into MaxBytes, at least one, and
  // drops those that have been sent MaxTransmissions times.
  std::vector<Member> takeBatch(std::size_t MaxBytes, int MaxTransmissions);

  bool empty() const { return Entries.empty(); }

private:
  struct Entry {
    Member Update;
    int Transmissions = 0;
  };

  std::map<std::string, Entry> Entries;
};

} // namespace Membership
