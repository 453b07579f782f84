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
  // Silence of a probed member after which others are asked to probe it.
  Common::Micros ProbeTimeout{0};
  // Time a suspected member has to refute it.
  Common::Micros SuspicionLimit{0};
  std::vector<Place> Seeds;
};

// Decides on membership in the manner of SWIM: probes a random member of its
// data centre at a time, directly and then through others, suspects the silent
// and declares them dead unless they refute it. Updates ride on the datagrams.
// What a node sends does not grow with the number of members.
class Prober {
public:
  Prober(Member Self, ProberOptions Options, std::uint64_t Seed);

  std::vector<Outgoing> tick(Common::SteadyTime Now);
  std::vector<Outgoing> take(const Datagram &Heard, Common::SteadyTime Now);

  // Joins through these as well, if it has not joined yet.
  void addSeeds(const Introductions &Found, Common::SteadyTime Now);
  void announce(const Endpoint &Server);
  void withdraw(const std::string &Server);
  void leave();
  void setConfigVersion(std::int64_t Version);

  const MemberTable &table() const { return Table; }

private:
  struct Outstanding {
    std::string Target;
    std::int64_t Sequence = 0;
    Common::SteadyTime SentAt;
    bool AskedOthers = false;
  };
  // A probe made for another node.
  struct Relay {
    Place Requester;
    std::int64_t Sequence = 0;
    Common::SteadyTime SentAt;
  };

  // A node of another data centre that is asked what is there until some time
  // after this one joined: summaries alone come every few seconds.
  struct ForeignFetch {
    Place From;
    Common::SteadyTime NextAt;
    Common::Millis Interval{0};
  };

  void askForeign(Common::SteadyTime Now);
  bool isAskedForeign(const Place &Where) const;
  void noticeSleep(Common::SteadyTime Now);
  void tellSelf();
  void tell(const Member &Update);
  void merge(const Datagram &Heard, Common::SteadyTime Now);

  void endProbe(Common::SteadyTime Now);
  void startProbe(Common::SteadyTime Now);
  void askOthers();
  void gossip();
  void summarise(Common::SteadyTime Now);
  bool isForeignSeed(const Place &Where) const;
  std::vector<Place> homeSeeds() const;
  void fetchList(Common::SteadyTime Now);
  void compareDigest(const Datagram &Heard, Common::SteadyTime Now);

  void answer(const Datagram &Heard, const Probe &Body, Common::SteadyTime Now);
  void answer(const Datagram &Heard, const ProbeRequest &Body,
              Common::SteadyTime Now);
  void answer(const Datagram &Heard, const Ack &Body, Common::SteadyTime Now);
  void answer(const Datagram &Heard, const Gossip &Body,
              Common::SteadyTime Now);
  void answer(const Datagram &Heard, const ListRequest &Body,
              Common::SteadyTime Now);
  void answer(const Datagram &Heard, const ListPiece &Body,
              Common::SteadyTime Now);
  void answer(const Datagram &Heard, const Summary &Body,
              Common::SteadyTime Now);

  // Sends with as many updates as fit beside First.
  void send(const Place &To, DatagramBody Body, std::vector<Member> First = {});
  Datagram datagram(DatagramBody Body) const;
  std::vector<Member> heldOf(const std::string &Node) const;
  std::vector<const Member *> neighbours(bool Live) const;
  const Member *pick(const std::vector<const Member *> &From);
  std::vector<Outgoing> takeOutput();

  ProberOptions Options;
  std::mt19937_64 Random;
  MemberTable Table;
  UpdateQueue Updates;
  ListFetch Fetch;
  SummaryExchange Summaries;
  std::vector<Outgoing> Output;
  std::optional<Outstanding> Open;
  std::map<std::int64_t, Relay> Relays;
  std::int64_t NextSequence = 1;
  std::int64_t Probes = 0;
  std::uint64_t Digest = 0;
  bool Started = false;
  // Seeds that answered from another data centre.
  std::vector<Place> ForeignSeeds;
  std::vector<ForeignFetch> ForeignFetches;
  bool Joined = false;
  std::optional<Common::SteadyTime> RefetchAt;
  Common::SteadyTime LastTick;
  Common::SteadyTime ProbeDue;
  Common::SteadyTime LastChange;
  Common::SteadyTime NextSync;
};

} // namespace Membership
