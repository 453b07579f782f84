#pragma once

#include <map>
#include <string>
#include <vector>

#include "Membership/Member.h"

namespace Membership {

// Updates that still have to be told to others, each a bounded number of times.
class UpdateQueue {
public:
  // Replaces an earlier update about the same node.
  void push(const Member &Update);
  // Takes the least told updates that fit into Bytes, at least one, and drops
  // those that have been told TransmitLimit times.
  std::vector<Member> take(std::size_t Bytes, int TransmitLimit);

  bool empty() const { return Entries.empty(); }

private:
  struct Entry {
    Member Update;
    int Transmissions = 0;
  };

  std::map<std::string, Entry> Entries;
};

} // namespace Membership
