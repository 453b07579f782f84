#pragma once

#include <concepts>
#include <functional>
#include <string>
#include <vector>

#include "Common/ResultCode.h"
#include "Membership/Datagram.h"

namespace Membership {

// A node as a directory lists it; it may be gone by now.
struct DirectoryEntry {
  std::string Node;
  std::string DataCentre;
  Place Where;

  bool operator==(const DirectoryEntry &) const = default;
};

// Where nodes that know nobody find one another.
template <class D>
concept NodeDirectory = requires(
    D &Directory, const DirectoryEntry &Own,
    std::function<void(Common::ResultCode)> OnAnnounced,
    std::function<void(Common::ResultCode, std::vector<DirectoryEntry>)>
        OnListed) {
  // Takes the place of what the node announced before.
  Directory.announce(Own, OnAnnounced);
  Directory.list(OnListed);
};

} // namespace Membership
