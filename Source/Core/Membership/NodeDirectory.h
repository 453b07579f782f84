#pragma once

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Membership/Datagram.h"
#include "Recovery/StoreEra.h"

namespace Membership {

// A node listed in a directory. It may no longer be running.
struct DirectoryEntry {
  std::string Node;
  std::string DataCentre;
  SocketAddress MemberAddress;
  // The last backend server that has left the node, if one was recorded.
  std::optional<DepartedServer> Departed = {};

  bool operator==(const DirectoryEntry &) const = default;
};

// A directory in which nodes that know no members find each other, and in which
// a restarted node finds the last departure that its earlier process recorded.
template <class D>
concept NodeDirectory = requires(
    D &Directory, const DirectoryEntry &Own, const DepartedServer &Departed,
    std::function<void(Recovery::StoreAnswer)> OnAnnounced,
    std::function<void(Recovery::StoreAnswer, std::vector<DirectoryEntry>)>
        OnListed) {
  // Replaces the previous announcement of the node.
  Directory.announce(Own, OnAnnounced);
  // Replaces the previous departure of the node. Announcements leave it as it
  // is.
  Directory.recordDeparture(Own.Node, Departed, OnAnnounced);
  Directory.list(OnListed);
};

} // namespace Membership
