#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Membership/Datagram.h"
#include "Membership/ListFetch.h"
#include "Membership/MemberTable.h"
#include "Membership/SummaryExchange.h"
#include "Membership/UpdateQueue.h"

namespace Membership {

struct ProberOptions {
  // Time between two calls of Prober::tick.
  Common::Micros TickInterval{0};
  Common::Micros ProbeInterval{0};
  // Time without an Ack after which other members are asked to probe the
  // target.
  Common::Micros ProbeTimeout{0};
  // Time in which a suspected member can refute the suspicion before it is
  // declared dead.
  Common::Micros SuspicionTimeout{0};
  std::vector<SocketAddress> Seeds;
};

// Implements SWIM-style failure detection and dissemination. In each interval
// it probes one random member of the local data centre, first directly and then
// through other members. A member that does not respond becomes suspect, and
// dead unless it refutes the suspicion in time. Membership updates are
// piggybacked on all datagrams. The traffic of a node does not grow with the
// number of members.
class Prober {
public:
  Prober(Member Self, ProberOptions Options, std::uint64_t Seed);

  std::vector<OutgoingDatagram> tick(Common::SteadyTime Now);
  std::vector<OutgoingDatagram> handleDatagram(const Datagram &Received,
                                               Common::SteadyTime Now);

  // Adds peers from the directory as seeds. A node that has not joined yet also
  // joins through them; one that has joined exchanges members with them, as
  // they may have joined others. The remote peers are asked for their member
  // lists.
  void addSeeds(const BootstrapPeers &Peers, Common::SteadyTime Now);
  void announce(const Endpoint &Server);
  void withdraw(const std::string &Server);
  void recordDeparture(const DepartedServer &Departed);
  void leave();
  void setConfigVersion(std::int64_t Version);

  const MemberTable &table() const { return Table; }

private:
  struct PendingProbe {
    std::string Target;
    std::int64_t Sequence = 0;
    Common::SteadyTime SentAt;
    bool IndirectSent = false;
  };
  // A probe sent on behalf of another node.
  struct Relay {
    SocketAddress Requester;
    std::int64_t Sequence = 0;
    Common::SteadyTime SentAt;
  };

  // A node of another data centre whose member list is requested until some
  // time after this node has joined. Summaries alone arrive only every few
  // seconds.
  struct RemoteFetch {
    SocketAddress Peer;
    Common::SteadyTime NextAt;
    Common::Millis Interval{0};
  };

  void fetchRemoteLists(Common::SteadyTime Now);
  bool isRemoteFetchPeer(const SocketAddress &Address) const;
  void detectPause(Common::SteadyTime Now);
  void disseminateSelf();
  void disseminate(const Member &Update);
  void mergeUpdates(const Datagram &Received, Common::SteadyTime Now);

  void endProbe(Common::SteadyTime Now);
  void startProbe(Common::SteadyTime Now);
  void sendIndirectProbes();
  void gossip();
  void sendSummaries(Common::SteadyTime Now);
  bool isRemoteSeed(const SocketAddress &Address) const;
  std::vector<SocketAddress> localSeeds() const;
  void fetchList(Common::SteadyTime Now);
  void compareDigest(const Datagram &Received, Common::SteadyTime Now);

  void handle(const Datagram &Received, const Probe &Body,
              Common::SteadyTime Now);
  void handle(const Datagram &Received, const ProbeRequest &Body,
              Common::SteadyTime Now);
  void handle(const Datagram &Received, const Ack &Body,
              Common::SteadyTime Now);
  void handle(const Datagram &Received, const Gossip &Body,
              Common::SteadyTime Now);
  void handle(const Datagram &Received, const ListRequest &Body,
              Common::SteadyTime Now);
  void handle(const Datagram &Received, const ListPiece &Body,
              Common::SteadyTime Now);
  void handle(const Datagram &Received, const Summary &Body,
              Common::SteadyTime Now);

  // Sends a datagram with the required updates and as many queued ones as fit.
  void send(const SocketAddress &To, DatagramBody Body,
            std::vector<Member> RequiredUpdates = {});
  Datagram datagram(DatagramBody Body) const;
  std::vector<Member> stateToRefute(const std::string &Node) const;
  std::vector<const Member *> localMembers(bool Live) const;
  const Member *pickRandom(const std::vector<const Member *> &Candidates);
  std::vector<OutgoingDatagram> takeOutput();

  ProberOptions Options;
  std::mt19937_64 Random;
  MemberTable Table;
  UpdateQueue Updates;
  ListFetch Fetch;
  SummaryExchange Summaries;
  std::vector<OutgoingDatagram> Output;
  std::optional<PendingProbe> Pending;
  std::map<std::int64_t, Relay> Relays;
  std::int64_t NextSequence = 1;
  std::int64_t ProbeCount = 0;
  std::uint64_t Digest = 0;
  bool Started = false;
  // Seeds that turned out to belong to another data centre.
  std::vector<SocketAddress> RemoteSeeds;
  std::vector<RemoteFetch> RemoteFetches;
  bool Joined = false;
  std::optional<Common::SteadyTime> RefetchAt;
  Common::SteadyTime LastTick;
  Common::SteadyTime NextProbeAt;
  Common::SteadyTime LastChange;
  Common::SteadyTime NextSyncAt;
};

} // namespace Membership
