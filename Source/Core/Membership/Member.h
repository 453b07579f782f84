#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Time.h"

namespace Membership {

enum class Health : std::int32_t { Alive = 0, Suspect = 1, Dead = 2, Left = 3 };

// A backend server, as announced by the node beside it.
struct Endpoint {
  std::string Service;
  std::string Server;
  int Slots = 1;
  bool Leaving = false;
  // The version of its software; empty if it does not state one.
  std::string Version = {};

  bool operator==(const Endpoint &) const = default;
};

// A backend server that has left the node beside it. Its late announcements
// must not bring it back, even if the process of the node is a new one.
struct DepartedServer {
  std::string Server;
  // Incarnations of the server that started later have not left.
  Common::WallTime LastStart;
  // When the node received the departure. A later departure replaces an earlier
  // one.
  Common::WallTime ReceivedAt;

  bool operator==(const DepartedServer &) const = default;
};

// The state of one node. A higher incarnation replaces a lower one; only the
// node itself raises its incarnation.
struct Member {
  std::string Node;
  std::string DataCentre;
  std::string Address;
  int PeerPort = 0;
  int MemberPort = 0;
  int ControlPort = 0;
  std::int64_t Incarnation = 0;
  Health State = Health::Alive;
  std::vector<Endpoint> Endpoints;
  std::int64_t ConfigVersion = 0;
  // The last backend server that has left. Unlike the other state it outlives
  // the process of the node, so it is merged independently of Incarnation.
  std::optional<DepartedServer> Departed = {};

  bool operator==(const Member &) const = default;
};

} // namespace Membership
