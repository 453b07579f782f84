#pragma once

#include <concepts>
#include <functional>
#include <string>
#include <vector>

#include "Common/ResultCode.h"
#include "Membership/Datagram.h"

namespace Membership {

// A node listed in a directory. It may no longer be running.
struct DirectoryEntry {
  std::string Node;
  std::string DataCentre;
  SocketAddress MemberAddress;

  bool operator==(const DirectoryEntry &) const = default;
};

// A directory in which nodes that know no members find each other.
template <class D>
concept NodeDirectory = requires(
    D &Directory, const DirectoryEntry &Own,
    std::function<void(Common::ResultCode)> OnAnnounced,
    std::function<void(Common::ResultCode, std::vector<DirectoryEntry>)>
        OnListed) {
  // Replaces the previous announcement of the node.
  Directory.announce(Own, OnAnnounced);
  Directory.list(OnListed);
};

} // namespace Membership
