#include "Membership/Prober.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "Membership/Rendezvous.h"

namespace Membership {

namespace {

constexpr std::size_t IndirectProbes = 3;
constexpr std::size_t GossipFanout = 3;
// How often an update is told, by the logarithm of the number of members.
constexpr int TransmitFactor = 2;
// A node that has just joined knows few of the members there are.
constexpr int MinTransmits = 14;
// One in so many probes goes to a member held for dead, so that two halves of
// a data centre find each other again.
constexpr std::int64_t DeadProbeShare = 8;
// A tick that is later by this shows that the process did not run.
constexpr Common::Millis SleepLimit{500};
// Longer than the cuts between parts of the network usually last.
constexpr std::chrono::hours ForgetLimit{2};
// Tables that differ for this long have missed an update.
constexpr Common::Millis SettleTime{2000};
constexpr Common::Millis SyncInterval{5000};
// When a whole data centre starts at once, the first list is of few members;
// after this time the seeds have heard of all.
constexpr Common::Millis JoinSettleTime{1500};
// Nodes of other data centres are asked after this and then twice as long each
// time, up to the second figure: as long as a herd takes to start.
constexpr Common::Millis FirstForeignInterval{400};
constexpr Common::Millis LastForeignInterval{4000};

} // namespace

Prober::Prober(Member Self, ProberOptions Wanted, std::uint64_t Seed)
    : Options(std::move(Wanted)), Random(Seed), Table(std::move(Self)),
      Fetch(Seed + 1), Summaries(Seed + 2) {
  const Place Own{Table.self().Address, Table.self().MemberPort};
  std::erase(Options.Seeds, Own);
}

std::vector<Outgoing> Prober::tick(Common::SteadyTime Now) {
  if (!Started) {
    Started = true;
    LastTick = Now;
    ProbeDue = Now;
    Fetch.begin(Options.Seeds, true, Now);
    tellSelf();
  }
  noticeSleep(Now);
  LastTick = Now;
  for (const Member &Each :
       Table.expire(Now, Options.SuspicionLimit, ForgetLimit))
    tell(Each);
  if (Now >= ProbeDue) {
    endProbe(Now);
    startProbe(Now);
  } else if (Open && !Open->AskedOthers &&
             Now - Open->SentAt >= Options.ProbeTimeout) {
    askOthers();
  }
  std::erase_if(Relays, [&](const auto &Entry) {
    return Now - Entry.second.SentAt > Options.ProbeInterval;
  });
  fetchList(Now);
  askForeign(Now);
  gossip();
  summarise(Now);
  return takeOutput();
}

std::vector<Outgoing> Prober::take(const Datagram &Heard,
                                   Common::SteadyTime Now) {
  if (!Started || Heard.From == Table.self().Node)
    return {};
  noticeSleep(Now);
  merge(Heard, Now);
  Table.hearVersion(Heard.From, Heard.ConfigVersion);
  std::visit([&](const auto &Body) { answer(Heard, Body, Now); }, Heard.Body);
  compareDigest(Heard, Now);
  return takeOutput();
}

// A process that was stopped has heard nobody in the meantime. It begins anew
// with what it waited for, and makes sure that others hold it for alive.
void Prober::noticeSleep(Common::SteadyTime Now) {
  if (Now - LastTick < Options.TickInterval + SleepLimit)
    return;
  LastTick = Now;
  Open.reset();
  Relays.clear();
  ProbeDue = Now + Options.ProbeInterval;
  Table.restartSuspicions(Now);
  Table.raiseIncarnation();
  tellSelf();
  NextSync = Now;
  LastChange = Now - SettleTime;
}

void Prober::tellSelf() { tell(Table.self()); }

void Prober::tell(const Member &Update) {
  Updates.push(Update);
  if (Update.DataCentre == Table.self().DataCentre &&
      Update.State != Health::Suspect)
    Summaries.changed(Update);
  Digest = Table.digest();
}

void Prober::merge(const Datagram &Heard, Common::SteadyTime Now) {
  const bool IsList = std::holds_alternative<ListPiece>(Heard.Body);
  // What is heard of another data centre is bounded by its representatives.
  if (std::holds_alternative<ListRequest>(Heard.Body) &&
      Heard.DataCentre != Table.self().DataCentre)
    return;
  for (const Member &Each : Heard.Updates) {
    if (!Table.merge(Each, Now))
      continue;
    LastChange = Now;
    if (Each.Node == Table.self().Node)
      tellSelf();
    else if (IsList)
      // Nodes that give out lists know what is in them.
      Digest = Table.digest();
    else
      tell(Each);
  }
}

void Prober::endProbe(Common::SteadyTime Now) {
  if (!Open)
    return;
  if (Table.suspect(Open->Target, Now))
    tell(*Table.find(Open->Target));
  Open.reset();
}

void Prober::startProbe(Common::SteadyTime Now) {
  ProbeDue = Now + Options.ProbeInterval;
  const bool Live = ++Probes % DeadProbeShare != 0;
  const Member *Target = pick(neighbours(Live));
  if (!Target)
    return;
  const std::int64_t Sequence = NextSequence++;
  if (Live)
    Open = Outstanding{Target->Node, Sequence, Now, false};
  send({Target->Address, Target->MemberPort}, Probe{Sequence, Target->Node},
       heldOf(Target->Node));
}

void Prober::askOthers() {
  Open->AskedOthers = true;
  const Member *Target = Table.find(Open->Target);
  if (!Target)
    return;
  // Without a second try, lost datagrams alone would raise suspicions, and
  // each of them is told to the whole data centre.
  const Place Direct{Target->Address, Target->MemberPort};
  send(Direct, Probe{Open->Sequence, Target->Node}, heldOf(Target->Node));
  std::vector<const Member *> Helpers = neighbours(true);
  std::erase(Helpers, Target);
  const ProbeRequest Asked{Open->Sequence, Target->Node, Direct};
  for (std::size_t I = 0; I < IndirectProbes && !Helpers.empty(); ++I) {
    const Member *Each = pick(Helpers);
    std::erase(Helpers, Each);
    send({Each->Address, Each->MemberPort}, Asked);
  }
}

void Prober::gossip() {
  std::vector<const Member *> Listeners = neighbours(true);
  for (std::size_t I = 0; I < GossipFanout; ++I) {
    if (Updates.empty() || Listeners.empty())
      return;
    const Member *Each = pick(Listeners);
    std::erase(Listeners, Each);
    send({Each->Address, Each->MemberPort}, Gossip{});
  }
}

void Prober::summarise(Common::SteadyTime Now) {
  Datagram Content = datagram(Summary{});
  const std::size_t Room = MaxDatagramBytes - encodedLimitOfHeader(Content);
  for (SummaryExchange::Told &Each : Summaries.due(Table, Room, Now)) {
    Content.Updates = std::move(Each.Updates);
    Output.push_back({Each.To, Content});
  }
}

void Prober::fetchList(Common::SteadyTime Now) {
  if (RefetchAt && Now >= *RefetchAt) {
    RefetchAt.reset();
    const std::vector<Place> Home = homeSeeds();
    Fetch.begin(Home.empty() ? Options.Seeds : Home, !Joined, Now);
  }
  if (const auto Asked = Fetch.due(Now))
    send(Asked->first, Asked->second, {Table.self()});
}

bool Prober::isForeignSeed(const Place &Where) const {
  return std::find(ForeignSeeds.begin(), ForeignSeeds.end(), Where) !=
         ForeignSeeds.end();
}

// The seeds that are not known to be of another data centre.
std::vector<Place> Prober::homeSeeds() const {
  std::vector<Place> Result = Options.Seeds;
  std::erase_if(Result,
                [this](const Place &Each) { return isForeignSeed(Each); });
  return Result;
}

// A node that missed an update sees it by the digests and fetches the list.
void Prober::compareDigest(const Datagram &Heard, Common::SteadyTime Now) {
  if (Heard.DataCentre != Table.self().DataCentre || Heard.Digest == Digest ||
      Now - LastChange < SettleTime || Now < NextSync)
    return;
  NextSync = Now + SyncInterval;
  Fetch.begin({Heard.ReplyTo}, false, Now);
}

void Prober::answer(const Datagram &Heard, const Probe &Body,
                    Common::SteadyTime) {
  // Another process may have the address of one that is gone.
  if (Body.Target == Table.self().Node)
    send(Heard.ReplyTo, Ack{Body.Sequence}, heldOf(Heard.From));
}

void Prober::answer(const Datagram &Heard, const ProbeRequest &Body,
                    Common::SteadyTime Now) {
  const std::int64_t Sequence = NextSequence++;
  Relays.emplace(Sequence, Relay{Heard.ReplyTo, Body.Sequence, Now});
  send(Body.TargetPlace, Probe{Sequence, Body.Target}, heldOf(Body.Target));
}

void Prober::answer(const Datagram &, const Ack &Body, Common::SteadyTime) {
  if (Open && Open->Sequence == Body.Sequence)
    Open.reset();
  const auto Found = Relays.extract(Body.Sequence);
  if (Found)
    send(Found.mapped().Requester, Ack{Found.mapped().Sequence});
}

void Prober::answer(const Datagram &, const Gossip &, Common::SteadyTime) {}

void Prober::answer(const Datagram &Heard, const ListRequest &Body,
                    Common::SteadyTime) {
  std::vector<const Member *> Members = Table.others();
  Members.push_back(&Table.self());
  std::set<std::string> Names;
  if (Heard.DataCentre == Table.self().DataCentre)
    for (const Member *Each : Members)
      Names.insert(Each->Node);
  else
    Names = summarised(Members, Table.self().DataCentre);
  Datagram Content = datagram(ListPiece{Body.After, true});
  ListPiece &Piece = std::get<ListPiece>(Content.Body);
  std::size_t Used = encodedLimitOfHeader(Content);
  for (auto Each = Names.upper_bound(Body.After); Each != Names.end(); ++Each) {
    const Member *Found =
        *Each == Table.self().Node ? &Table.self() : Table.find(*Each);
    Used += encodedLimit(*Found);
    if (!Content.Updates.empty() && Used > MaxDatagramBytes) {
      Piece.IsLast = false;
      break;
    }
    Content.Updates.push_back(*Found);
    Piece.LastName = *Each;
  }
  Output.push_back({Heard.ReplyTo, std::move(Content)});
}

void Prober::answer(const Datagram &Heard, const ListPiece &Body,
                    Common::SteadyTime Now) {
  Fetch.take(Body, Heard.ReplyTo, Now);
  const bool FromHome = Heard.DataCentre == Table.self().DataCentre;
  if (!FromHome && !Body.IsLast && isAskedForeign(Heard.ReplyTo))
    send(Heard.ReplyTo, ListRequest{Body.LastName});
  if (!FromHome && !isForeignSeed(Heard.ReplyTo))
    ForeignSeeds.push_back(Heard.ReplyTo);
  if (Body.IsLast && !Joined) {
    // Another data centre's seed knows no neighbour of this node.
    Joined = FromHome || homeSeeds().empty();
    RefetchAt = Joined ? Now + JoinSettleTime : Now;
  }
  fetchList(Now);
}

void Prober::answer(const Datagram &, const Summary &, Common::SteadyTime) {}

void Prober::addSeeds(const Introductions &Found, Common::SteadyTime Now) {
  const Place Own{Table.self().Address, Table.self().MemberPort};
  // Without a neighbour, the others serve as seeds.
  const auto &Seeds = Found.Home.empty() ? Found.Foreign : Found.Home;
  for (const Place &Each : Seeds)
    if (Each != Own && std::find(Options.Seeds.begin(), Options.Seeds.end(),
                                 Each) == Options.Seeds.end())
      Options.Seeds.push_back(Each);
  for (const Place &Each : Found.Foreign)
    if (!isAskedForeign(Each))
      ForeignFetches.push_back({Each, Now, FirstForeignInterval});
  if (Started && !Joined)
    Fetch.begin(Options.Seeds, true, Now);
}

bool Prober::isAskedForeign(const Place &Where) const {
  return std::any_of(
      ForeignFetches.begin(), ForeignFetches.end(),
      [&](const ForeignFetch &Each) { return Each.From == Where; });
}

// Those who started at the same moment know little yet, so they are asked
// again.
void Prober::askForeign(Common::SteadyTime Now) {
  for (ForeignFetch &Each : ForeignFetches) {
    if (Now < Each.NextAt || Each.Interval > LastForeignInterval)
      continue;
    send(Each.From, ListRequest{""});
    Each.NextAt = Now + Each.Interval;
    Each.Interval *= 2;
  }
}

void Prober::announce(const Endpoint &Server) {
  Table.announce(Server);
  tellSelf();
}

void Prober::withdraw(const std::string &Server) {
  Table.withdraw(Server);
  tellSelf();
}

void Prober::leave() {
  Table.leave();
  tellSelf();
}

void Prober::setConfigVersion(std::int64_t Version) {
  Table.setConfigVersion(Version);
}

void Prober::send(const Place &To, DatagramBody Body,
                  std::vector<Member> First) {
  Datagram Content = datagram(std::move(Body));
  Content.Updates = std::move(First);
  std::size_t Used = encodedLimitOfHeader(Content);
  for (const Member &Each : Content.Updates)
    Used += encodedLimit(Each);
  const auto Members = static_cast<unsigned>(neighbours(true).size() + 1);
  const int Limit = std::max(
      MinTransmits, TransmitFactor * static_cast<int>(std::bit_width(Members)));
  if (!Updates.empty() && Used < MaxDatagramBytes)
    for (Member &Each : Updates.take(MaxDatagramBytes - Used, Limit))
      Content.Updates.push_back(std::move(Each));
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

// What this node holds against another, so that it can refute it.
std::vector<Member> Prober::heldOf(const std::string &Node) const {
  const Member *Found = Table.find(Node);
  if (!Found || Found->State == Health::Alive)
    return {};
  return {*Found};
}

std::vector<const Member *> Prober::neighbours(bool Live) const {
  std::vector<const Member *> Result = Table.others();
  std::erase_if(Result, [&](const Member *Each) {
    return Each->DataCentre != Table.self().DataCentre || isLive(*Each) != Live;
  });
  return Result;
}

const Member *Prober::pick(const std::vector<const Member *> &From) {
  return From.empty() ? nullptr : From[Random() % From.size()];
}

std::vector<Outgoing> Prober::takeOutput() { return std::exchange(Output, {}); }

} // namespace Membership
