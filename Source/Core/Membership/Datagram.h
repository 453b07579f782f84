#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Membership/Member.h"

namespace Membership {

// The UDP socket of a member.
struct Place {
  std::string Address;
  int Port = 0;

  auto operator<=>(const Place &) const = default;
};

// Where to begin for a node that knows nobody.
struct Introductions {
  // Nodes of the own data centre.
  std::vector<Place> Home;
  // Some nodes of each other one.
  std::vector<Place> Foreign;

  bool empty() const { return Home.empty() && Foreign.empty(); }
};

// Asks the node of that name to answer with an Ack of the same sequence.
struct Probe {
  std::int64_t Sequence = 0;
  std::string Target;
};

// Asks the receiver to probe Target and to pass its Ack on.
struct ProbeRequest {
  std::int64_t Sequence = 0;
  std::string Target;
  Place TargetPlace;
};

struct Ack {
  std::int64_t Sequence = 0;
};

// Carries updates alone.
struct Gossip {};

// Asks for the members whose names come after After.
struct ListRequest {
  std::string After;
};

// A piece of the member list, in the updates of its datagram.
struct ListPiece {
  std::string LastName;
  bool IsLast = false;
};

// Updates from a representative of another data centre.
struct Summary {};

using DatagramBody = std::variant<Probe, ProbeRequest, Ack, Gossip, ListRequest,
                                  ListPiece, Summary>;

// What nodes exchange over UDP. Updates about any member ride on every kind.
struct Datagram {
  std::string From;
  std::string DataCentre;
  Place ReplyTo;
  std::int64_t Incarnation = 0;
  std::int64_t ConfigVersion = 0;
  // Tells nodes of one data centre whether their tables are equal.
  std::uint64_t Digest = 0;
  DatagramBody Body;
  std::vector<Member> Updates;
};

struct Outgoing {
  Place To;
  Datagram Content;
};

// The name of the datagram's kind, for counters.
std::string kindName(const DatagramBody &Body);

// Most bytes that the encoded update or the rest of a datagram takes.
std::size_t encodedLimit(const Member &Update);
std::size_t encodedLimitOfHeader(const Datagram &Content);

// A datagram of this size passes every usual link in one piece.
constexpr std::size_t MaxDatagramBytes = 1200;

} // namespace Membership
