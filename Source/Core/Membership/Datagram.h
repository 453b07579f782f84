#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Membership/Member.h"

namespace Membership {

// Address and port of a member's UDP socket.
struct SocketAddress {
  std::string Address;
  int Port = 0;

  auto operator<=>(const SocketAddress &) const = default;
};

// The peers through which a node that knows no members yet joins.
struct BootstrapPeers {
  // Nodes of the local data centre.
  std::vector<SocketAddress> Local;
  // Some nodes of each other data centre.
  std::vector<SocketAddress> Remote;

  bool empty() const { return Local.empty() && Remote.empty(); }
};

// Asks the node named Target to respond with an Ack of the same sequence
// number.
struct Probe {
  std::int64_t Sequence = 0;
  std::string Target;
};

// Asks the receiver to probe Target and to forward its Ack.
struct ProbeRequest {
  std::int64_t Sequence = 0;
  std::string Target;
  SocketAddress TargetSocketAddress;
};

struct Ack {
  std::int64_t Sequence = 0;
};

// Carries only updates.
struct Gossip {};

// Asks for the members whose names sort after After.
struct ListRequest {
  std::string After;
};

// A piece of the member list, whose members are the updates of the datagram.
struct ListPiece {
  std::string LastName;
  bool IsLast = false;
};

// Updates from a representative of another data centre.
struct Summary {};

using DatagramBody = std::variant<Probe, ProbeRequest, Ack, Gossip, ListRequest,
                                  ListPiece, Summary>;

// A message that nodes exchange over UDP. Every kind carries membership
// updates.
struct Datagram {
  std::string From;
  std::string DataCentre;
  SocketAddress ReplyTo;
  std::int64_t Incarnation = 0;
  std::int64_t ConfigVersion = 0;
  // Digest of the sender's member table. Nodes of one data centre compare it to
  // detect lost updates.
  std::uint64_t Digest = 0;
  DatagramBody Body;
  std::vector<Member> Updates;
};

struct OutgoingDatagram {
  SocketAddress To;
  Datagram Content;
};

// The name of the datagram's kind in traffic counters.
std::string kindName(const DatagramBody &Body);

// Upper bounds for the encoded size of an update, and of a datagram without its
// updates.
std::size_t maxEncodedSize(const Member &Update);
std::size_t maxEncodedHeaderSize(const Datagram &Content);

// A datagram of this size passes all common links without fragmentation.
constexpr std::size_t MaxDatagramBytes = 1200;

} // namespace Membership
