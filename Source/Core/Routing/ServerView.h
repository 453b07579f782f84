#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Routing/Call.h"

namespace Routing {

// A live backend server as the caller side sees it.
struct ServerEntry {
  std::string Server;
  NodeAddress Node;
  std::string DataCentre;
  int Slots = 1;
  // The version of its software; empty if it does not state one.
  std::string Version = {};

  bool operator==(const ServerEntry &) const = default;
};

// The live servers of each service. When members change, a new view replaces
// the old one.
struct ServerView {
  std::map<std::string, std::vector<ServerEntry>> ByService;

  bool operator==(const ServerView &) const = default;
};

using ServerViewPtr = std::shared_ptr<const ServerView>;

} // namespace Routing
