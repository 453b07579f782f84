#include "Membership/Prober.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "Membership/Rendezvous.h"

namespace Membership {

namespace {

constexpr std::size_t IndirectProbes = 3;
constexpr std::size_t GossipFanout = 3;
// An update is sent this many times the binary logarithm of the number of
// members.
constexpr int TransmitFactor = 2;
// Lower bound, because a node that has just joined knows only a few members and
// would underestimate the logarithm.
constexpr int MinTransmits = 14;
// Every eighth probe goes to a dead or left member, so that the parts of a
// partitioned data centre find each other again.
constexpr std::int64_t DeadProbePeriod = 8;
// A tick that is this much overdue means that the process was paused.
constexpr Common::Millis PauseThreshold{500};
// Time that dead and left members are remembered. It exceeds the usual duration
// of a network partition.
constexpr std::chrono::hours DeadRetention{2};
// Digests that still differ this long after the last change show that an update
// was lost.
constexpr Common::Millis DigestGracePeriod{2000};
constexpr Common::Millis MinSyncInterval{5000};
// When a whole data centre starts at once, the first list has few members.
// After this time the seeds know all of them, and the list is fetched again.
constexpr Common::Millis JoinRefetchDelay{1500};
// The interval between list requests to a remote node starts at the first value
// and doubles with each request; requests stop once it exceeds the second. This
// covers the time that nodes take when all of them start at once.
constexpr Common::Millis InitialRemoteFetchInterval{400};
constexpr Common::Millis MaxRemoteFetchInterval{4000};

} // namespace

Prober::Prober(Member Self, ProberOptions InitialOptions, std::uint64_t Seed)
    : Options(std::move(InitialOptions)), Random(Seed), Table(std::move(Self)),
      Fetch(Seed + 1), Summaries(Seed + 2) {
  const SocketAddress OwnAddress{Table.self().Address, Table.self().MemberPort};
  std::erase(Options.Seeds, OwnAddress);
}

std::vector<OutgoingDatagram> Prober::tick(Common::SteadyTime Now) {
  if (!Started) {
    Started = true;
    LastTick = Now;
    NextProbeAt = Now;
    Fetch.begin(Options.Seeds, true, Now);
    disseminateSelf();
  }
  detectPause(Now);
  LastTick = Now;
  for (const Member &NewlyDead :
       Table.expire(Now, Options.SuspicionTimeout, DeadRetention))
    disseminate(NewlyDead);
  if (Now >= NextProbeAt) {
    endProbe(Now);
    startProbe(Now);
  } else if (Pending && !Pending->IndirectSent &&
             Now - Pending->SentAt >= Options.ProbeTimeout) {
    sendIndirectProbes();
  }
  std::erase_if(Relays, [&](const auto &Entry) {
    return Now - Entry.second.SentAt > Options.ProbeInterval;
  });
  fetchList(Now);
  fetchRemoteLists(Now);
  gossip();
  sendSummaries(Now);
  return takeOutput();
}

std::vector<OutgoingDatagram> Prober::handleDatagram(const Datagram &Received,
                                                     Common::SteadyTime Now) {
  if (!Started || Received.From == Table.self().Node)
    return {};
  detectPause(Now);
  mergeUpdates(Received, Now);
  Table.mergeConfigVersion(Received.From, Received.ConfigVersion);
  std::visit([&](const auto &Body) { handle(Received, Body, Now); },
             Received.Body);
  compareDigest(Received, Now);
  return takeOutput();
}

// A process that was paused received nothing in the meantime. Its pending
// probes and suspicions restart, and a higher incarnation refutes any suspicion
// or death that others recorded for this node.
void Prober::detectPause(Common::SteadyTime Now) {
  if (Now - LastTick < Options.TickInterval + PauseThreshold)
    return;
  LastTick = Now;
  Pending.reset();
  Relays.clear();
  NextProbeAt = Now + Options.ProbeInterval;
  Table.restartSuspicions(Now);
  Table.raiseIncarnation();
  disseminateSelf();
  NextSyncAt = Now;
  LastChange = Now - DigestGracePeriod;
}

void Prober::disseminateSelf() { disseminate(Table.self()); }

void Prober::disseminate(const Member &Update) {
  Updates.push(Update);
  if (Update.DataCentre == Table.self().DataCentre &&
      Update.State != Health::Suspect)
    Summaries.onMemberChanged(Update);
  Digest = Table.digest();
}

void Prober::mergeUpdates(const Datagram &Received, Common::SteadyTime Now) {
  const bool IsList = std::holds_alternative<ListPiece>(Received.Body);
  // Updates in a list request from another data centre are skipped: only the
  // bounded set that its representatives send is kept here.
  if (std::holds_alternative<ListRequest>(Received.Body) &&
      Received.DataCentre != Table.self().DataCentre)
    return;
  for (const Member &Update : Received.Updates) {
    if (!Table.merge(Update, Now))
      continue;
    LastChange = Now;
    if (Update.Node == Table.self().Node)
      disseminateSelf();
    else if (IsList)
      // The sender already knows the members of its list, so they are not
      // disseminated again.
      Digest = Table.digest();
    else
      // The recorded state may hold a departure that the update lacks.
      disseminate(*Table.find(Update.Node));
  }
}

void Prober::endProbe(Common::SteadyTime Now) {
  if (!Pending)
    return;
  if (Table.suspect(Pending->Target, Now))
    disseminate(*Table.find(Pending->Target));
  Pending.reset();
}

void Prober::startProbe(Common::SteadyTime Now) {
  NextProbeAt = Now + Options.ProbeInterval;
  const bool Live = ++ProbeCount % DeadProbePeriod != 0;
  const Member *Target = pickRandom(localMembers(Live));
  if (!Target)
    return;
  const std::int64_t Sequence = NextSequence++;
  if (Live)
    Pending = PendingProbe{Target->Node, Sequence, Now, false};
  send({Target->Address, Target->MemberPort}, Probe{Sequence, Target->Node},
       stateToRefute(Target->Node));
}

void Prober::sendIndirectProbes() {
  Pending->IndirectSent = true;
  const Member *Target = Table.find(Pending->Target);
  if (!Target)
    return;
  // The direct probe is repeated. Otherwise packet loss alone would raise
  // suspicions, each of which is disseminated to the whole data centre.
  const SocketAddress TargetAddress{Target->Address, Target->MemberPort};
  send(TargetAddress, Probe{Pending->Sequence, Target->Node},
       stateToRefute(Target->Node));
  std::vector<const Member *> Helpers = localMembers(true);
  std::erase(Helpers, Target);
  const ProbeRequest Request{Pending->Sequence, Target->Node, TargetAddress};
  for (std::size_t I = 0; I < IndirectProbes && !Helpers.empty(); ++I) {
    const Member *Helper = pickRandom(Helpers);
    std::erase(Helpers, Helper);
    send({Helper->Address, Helper->MemberPort}, Request);
  }
}

void Prober::gossip() {
  std::vector<const Member *> Peers = localMembers(true);
  for (std::size_t I = 0; I < GossipFanout; ++I) {
    if (Updates.empty() || Peers.empty())
      return;
    const Member *Peer = pickRandom(Peers);
    std::erase(Peers, Peer);
    send({Peer->Address, Peer->MemberPort}, Gossip{});
  }
}

void Prober::sendSummaries(Common::SteadyTime Now) {
  Datagram Content = datagram(Summary{});
  const std::size_t MaxUpdateBytes =
      MaxDatagramBytes - maxEncodedHeaderSize(Content);
  for (SummaryExchange::OutgoingSummary &Message :
       Summaries.nextSummaries(Table, MaxUpdateBytes, Now)) {
    Content.Updates = std::move(Message.Updates);
    Output.push_back({Message.To, Content});
  }
}

void Prober::fetchList(Common::SteadyTime Now) {
  if (RefetchAt && Now >= *RefetchAt) {
    RefetchAt.reset();
    const std::vector<SocketAddress> LocalSeeds = localSeeds();
    Fetch.begin(LocalSeeds.empty() ? Options.Seeds : LocalSeeds, !Joined, Now);
  }
  if (const auto Request = Fetch.nextRequest(Now))
    send(Request->first, Request->second, {Table.self()});
}

bool Prober::isRemoteSeed(const SocketAddress &Address) const {
  return std::find(RemoteSeeds.begin(), RemoteSeeds.end(), Address) !=
         RemoteSeeds.end();
}

// The seeds that are not known to belong to another data centre.
std::vector<SocketAddress> Prober::localSeeds() const {
  std::vector<SocketAddress> Result = Options.Seeds;
  std::erase_if(
      Result, [this](const SocketAddress &Seed) { return isRemoteSeed(Seed); });
  return Result;
}

// A digest that still differs from that of another local member shows that an
// update was lost, so the member list of the sender is fetched.
void Prober::compareDigest(const Datagram &Received, Common::SteadyTime Now) {
  if (Received.DataCentre != Table.self().DataCentre ||
      Received.Digest == Digest || Now - LastChange < DigestGracePeriod ||
      Now < NextSyncAt)
    return;
  NextSyncAt = Now + MinSyncInterval;
  Fetch.begin({Received.ReplyTo}, false, Now);
}

void Prober::handle(const Datagram &Received, const Probe &Body,
                    Common::SteadyTime) {
  // The target may be gone and its address taken over by this process.
  if (Body.Target == Table.self().Node)
    send(Received.ReplyTo, Ack{Body.Sequence}, stateToRefute(Received.From));
}

void Prober::handle(const Datagram &Received, const ProbeRequest &Body,
                    Common::SteadyTime Now) {
  const std::int64_t Sequence = NextSequence++;
  Relays.emplace(Sequence, Relay{Received.ReplyTo, Body.Sequence, Now});
  send(Body.TargetSocketAddress, Probe{Sequence, Body.Target},
       stateToRefute(Body.Target));
}

void Prober::handle(const Datagram &, const Ack &Body, Common::SteadyTime) {
  if (Pending && Pending->Sequence == Body.Sequence)
    Pending.reset();
  const auto Found = Relays.extract(Body.Sequence);
  if (Found)
    send(Found.mapped().Requester, Ack{Found.mapped().Sequence});
}

void Prober::handle(const Datagram &, const Gossip &, Common::SteadyTime) {}

void Prober::handle(const Datagram &Received, const ListRequest &Body,
                    Common::SteadyTime) {
  std::vector<const Member *> Members = Table.others();
  Members.push_back(&Table.self());
  std::set<std::string> Names;
  if (Received.DataCentre == Table.self().DataCentre)
    for (const Member *Listed : Members)
      Names.insert(Listed->Node);
  else
    Names = summarisedNodes(Members, Table.self().DataCentre);
  Datagram Content = datagram(ListPiece{Body.After, true});
  ListPiece &Piece = std::get<ListPiece>(Content.Body);
  std::size_t UsedBytes = maxEncodedHeaderSize(Content);
  for (auto Name = Names.upper_bound(Body.After); Name != Names.end(); ++Name) {
    const Member *Found =
        *Name == Table.self().Node ? &Table.self() : Table.find(*Name);
    UsedBytes += maxEncodedSize(*Found);
    if (!Content.Updates.empty() && UsedBytes > MaxDatagramBytes) {
      Piece.IsLast = false;
      break;
    }
    Content.Updates.push_back(*Found);
    Piece.LastName = *Name;
  }
  Output.push_back({Received.ReplyTo, std::move(Content)});
}

void Prober::handle(const Datagram &Received, const ListPiece &Body,
                    Common::SteadyTime Now) {
  Fetch.handlePiece(Body, Received.ReplyTo, Now);
  const bool IsLocal = Received.DataCentre == Table.self().DataCentre;
  if (!IsLocal && !Body.IsLast && isRemoteFetchPeer(Received.ReplyTo))
    send(Received.ReplyTo, ListRequest{Body.LastName});
  if (!IsLocal && !isRemoteSeed(Received.ReplyTo))
    RemoteSeeds.push_back(Received.ReplyTo);
  if (Body.IsLast && !Joined) {
    // A seed of another data centre lists no local members, so the join is
    // complete only after the list of a local seed, unless there is none.
    Joined = IsLocal || localSeeds().empty();
    RefetchAt = Joined ? Now + JoinRefetchDelay : Now;
  }
  fetchList(Now);
}

void Prober::handle(const Datagram &, const Summary &, Common::SteadyTime) {}

void Prober::addSeeds(const BootstrapPeers &Peers, Common::SteadyTime Now) {
  const SocketAddress OwnAddress{Table.self().Address, Table.self().MemberPort};
  // Without a local peer, the remote ones serve as seeds.
  const auto &Seeds = Peers.Local.empty() ? Peers.Remote : Peers.Local;
  for (const SocketAddress &Seed : Seeds)
    if (Seed != OwnAddress &&
        std::find(Options.Seeds.begin(), Options.Seeds.end(), Seed) ==
            Options.Seeds.end())
      Options.Seeds.push_back(Seed);
  for (const SocketAddress &RemotePeer : Peers.Remote)
    if (!isRemoteFetchPeer(RemotePeer))
      RemoteFetches.push_back({RemotePeer, Now, InitialRemoteFetchInterval});
  if (!Started)
    return;
  if (Joined)
    Fetch.begin(Peers.Local, false, Now);
  else
    Fetch.begin(Options.Seeds, true, Now);
}

bool Prober::isRemoteFetchPeer(const SocketAddress &Address) const {
  return std::any_of(
      RemoteFetches.begin(), RemoteFetches.end(),
      [&](const RemoteFetch &Source) { return Source.Peer == Address; });
}

// Remote nodes that started at the same time know few members at first, so each
// of them is asked several times.
void Prober::fetchRemoteLists(Common::SteadyTime Now) {
  for (RemoteFetch &Source : RemoteFetches) {
    if (Now < Source.NextAt || Source.Interval > MaxRemoteFetchInterval)
      continue;
    send(Source.Peer, ListRequest{""});
    Source.NextAt = Now + Source.Interval;
    Source.Interval *= 2;
  }
}

void Prober::announce(const Endpoint &Server) {
  Table.announce(Server);
  disseminateSelf();
}

void Prober::withdraw(const std::string &Server) {
  Table.withdraw(Server);
  disseminateSelf();
}

void Prober::recordDeparture(const DepartedServer &Departed) {
  Table.recordDeparture(Departed);
  disseminateSelf();
}

void Prober::leave() {
  Table.leave();
  disseminateSelf();
}

void Prober::setConfigVersion(std::int64_t Version) {
  Table.setConfigVersion(Version);
}

void Prober::send(const SocketAddress &To, DatagramBody Body,
                  std::vector<Member> RequiredUpdates) {
  Datagram Content = datagram(std::move(Body));
  Content.Updates = std::move(RequiredUpdates);
  std::size_t UsedBytes = maxEncodedHeaderSize(Content);
  for (const Member &Update : Content.Updates)
    UsedBytes += maxEncodedSize(Update);
  const auto MemberCount = static_cast<unsigned>(localMembers(true).size() + 1);
  const int MaxTransmissions =
      std::max(MinTransmits,
               TransmitFactor * static_cast<int>(std::bit_width(MemberCount)));
  if (!Updates.empty() && UsedBytes < MaxDatagramBytes)
    for (Member &Update :
         Updates.takeBatch(MaxDatagramBytes - UsedBytes, MaxTransmissions))
      Content.Updates.push_back(std::move(Update));
  Output.push_back({To, std::move(Content)});
}

Datagram Prober::datagram(DatagramBody Body) const {
  const Member &Self = Table.self();
  return {.From = Self.Node,
          .DataCentre = Self.DataCentre,
          .ReplyTo = {Self.Address, Self.MemberPort},
          .Incarnation = Self.Incarnation,
          .ConfigVersion = Self.ConfigVersion,
          .Digest = Digest,
          .Body = std::move(Body),
          .Updates = {}};
}

// The recorded state of a node that isn't considered alive, sent along so that
// the node can refute it.
std::vector<Member> Prober::stateToRefute(const std::string &Node) const {
  const Member *Found = Table.find(Node);
  if (!Found || Found->State == Health::Alive)
    return {};
  return {*Found};
}

std::vector<const Member *> Prober::localMembers(bool Live) const {
  std::vector<const Member *> Result = Table.others();
  std::erase_if(Result, [&](const Member *Candidate) {
    return Candidate->DataCentre != Table.self().DataCentre ||
           isLive(*Candidate) != Live;
  });
  return Result;
}

const Member *
Prober::pickRandom(const std::vector<const Member *> &Candidates) {
  return Candidates.empty() ? nullptr
                            : Candidates[Random() % Candidates.size()];
}

std::vector<OutgoingDatagram> Prober::takeOutput() {
  return std::exchange(Output, {});
}

} // namespace Membership
