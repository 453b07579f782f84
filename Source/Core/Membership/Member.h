#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Membership {

enum class Health : std::int32_t { Alive = 0, Suspect = 1, Dead = 2, Left = 3 };

// A backend server, as announced by the node beside it.
struct Endpoint {
  std::string Service;
  std::string Server;
  int Slots = 1;
  bool Leaving = false;

  bool operator==(const Endpoint &) const = default;
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

  bool operator==(const Member &) const = default;
};

} // namespace Membership
