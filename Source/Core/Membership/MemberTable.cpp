#include "Membership/MemberTable.h"

#include <algorithm>
#include <set>

#include "Common/Rendezvous.h"
#include "Membership/Rendezvous.h"

namespace Membership {

namespace {

void addServers(const Member &From, Routing::ServerView &View) {
  if (!isLive(From))
    return;
  for (const Endpoint &Server : From.Endpoints) {
    if (Server.Leaving)
      continue;
    View.ByService[Server.Service].push_back(
        {Server.Server, From.Address + ":" + std::to_string(From.PeerPort),
         From.DataCentre, Server.Slots, Server.Version});
  }
}

// Returns true if the departure is later than the recorded one and replaces it.
bool mergeDeparture(const std::optional<DepartedServer> &Update,
                    std::optional<DepartedServer> &Recorded) {
  if (!Update || (Recorded && Update->ReceivedAt <= Recorded->ReceivedAt))
    return false;
  Recorded = Update;
  return true;
}

bool supersedes(const Member &Update, const Member &Recorded) {
  if (Update.Incarnation != Recorded.Incarnation)
    return Update.Incarnation > Recorded.Incarnation;
  return Update.State > Recorded.State;
}

} // namespace

bool isLive(const Member &Subject) {
  return Subject.State == Health::Alive || Subject.State == Health::Suspect;
}

MemberTable::MemberTable(Member Self) : Self(std::move(Self)) {}

bool MemberTable::merge(const Member &Update, Common::SteadyTime Now) {
  if (Update.Node == Self.Node)
    return mergeSelf(Update);
  // Members are probed only by nodes of their own data centre, so suspicions
  // from other data centres are ignored.
  if (Update.State == Health::Suspect && Update.DataCentre != Self.DataCentre)
    return false;
  const auto Found = Others.find(Update.Node);
  if (Found == Others.end()) {
    Others.emplace(Update.Node, KnownMember{Update, Now});
    ++Revision;
    return true;
  }
  Member &Recorded = Found->second.Info;
  const std::int64_t Version =
      std::max(Recorded.ConfigVersion, Update.ConfigVersion);
  const bool HasNewDeparture =
      mergeDeparture(Update.Departed, Recorded.Departed);
  const bool Newer = supersedes(Update, Recorded);
  if (Newer) {
    const std::optional<DepartedServer> Departed = Recorded.Departed;
    Found->second = KnownMember{Update, Now};
    Recorded.Departed = Departed;
  }
  Recorded.ConfigVersion = Version;
  if (Newer || HasNewDeparture)
    ++Revision;
  return Newer || HasNewDeparture;
}

// Other nodes may still hold the state of an earlier process of this name, or a
// suspicion of this node. A higher incarnation replaces both.
bool MemberTable::mergeSelf(const Member &Update) {
  const bool Refute =
      Update.Incarnation > Self.Incarnation ||
      (Update.Incarnation == Self.Incarnation && Update.State > Self.State);
  if (Refute)
    Self.Incarnation = Update.Incarnation + 1;
  // An earlier process of this node accepted the departure.
  const bool HasNewDeparture = mergeDeparture(Update.Departed, Self.Departed);
  if (Refute || HasNewDeparture)
    ++Revision;
  return Refute || HasNewDeparture;
}

void MemberTable::mergeConfigVersion(const std::string &Node,
                                     std::int64_t Version) {
  const auto Found = Others.find(Node);
  if (Found != Others.end())
    Found->second.Info.ConfigVersion =
        std::max(Found->second.Info.ConfigVersion, Version);
}

bool MemberTable::suspect(const std::string &Node, Common::SteadyTime Now) {
  const auto Found = Others.find(Node);
  if (Found == Others.end() || Found->second.Info.State != Health::Alive)
    return false;
  Found->second.Info.State = Health::Suspect;
  ++Revision;
  Found->second.StateSince = Now;
  return true;
}

std::vector<Member> MemberTable::expire(Common::SteadyTime Now,
                                        Common::Duration SuspicionTimeout,
                                        Common::Duration DeadRetention) {
  std::vector<Member> NewlyDead;
  for (auto &[Name, Known] : Others) {
    if (Known.Info.State != Health::Suspect ||
        Now - Known.StateSince < SuspicionTimeout)
      continue;
    Known.Info.State = Health::Dead;
    Known.StateSince = Now;
    NewlyDead.push_back(Known.Info);
    ++Revision;
  }
  std::erase_if(Others, [&](const auto &Entry) {
    return !isLive(Entry.second.Info) &&
           Now - Entry.second.StateSince > DeadRetention;
  });
  return NewlyDead;
}

void MemberTable::restartSuspicions(Common::SteadyTime Now) {
  for (auto &[Name, Known] : Others)
    if (Known.Info.State == Health::Suspect)
      Known.StateSince = Now;
}

void MemberTable::announce(const Endpoint &Server) {
  raiseIncarnation();
  std::erase_if(Self.Endpoints, [&](const Endpoint &Existing) {
    return Existing.Server == Server.Server;
  });
  Self.Endpoints.push_back(Server);
}

void MemberTable::withdraw(const std::string &Server) {
  raiseIncarnation();
  std::erase_if(Self.Endpoints, [&](const Endpoint &Existing) {
    return Existing.Server == Server;
  });
}

void MemberTable::recordDeparture(const DepartedServer &Departed) {
  if (mergeDeparture(Departed, Self.Departed))
    raiseIncarnation();
}

void MemberTable::leave() {
  raiseIncarnation();
  Self.State = Health::Left;
}

void MemberTable::raiseIncarnation() {
  ++Self.Incarnation;
  ++Revision;
}

void MemberTable::setConfigVersion(std::int64_t Version) {
  Self.ConfigVersion = std::max(Version, Self.ConfigVersion);
}

const Member *MemberTable::find(const std::string &Node) const {
  const auto Found = Others.find(Node);
  return Found == Others.end() ? nullptr : &Found->second.Info;
}

std::vector<const Member *> MemberTable::others() const {
  std::vector<const Member *> Result;
  Result.reserve(Others.size());
  for (const auto &[Name, Known] : Others)
    Result.push_back(&Known.Info);
  return Result;
}

Routing::ServerViewPtr MemberTable::servers() const {
  auto View = std::make_shared<Routing::ServerView>();
  addServers(Self, *View);
  // Changes of another data centre arrive one by one, so the table may hold
  // more of its members than the bound on summarised nodes allows.
  std::map<std::string, std::set<std::string>> SummarisedNodes;
  const std::vector<const Member *> Members = others();
  for (const Member *Candidate : Members) {
    if (Candidate->DataCentre != Self.DataCentre) {
      const auto [Names, IsNew] =
          SummarisedNodes.try_emplace(Candidate->DataCentre);
      if (IsNew)
        Names->second = summarisedNodes(Members, Candidate->DataCentre);
      if (!Names->second.contains(Candidate->Node))
        continue;
    }
    addServers(*Candidate, *View);
  }
  return View;
}

std::uint64_t MemberTable::digest() const {
  const auto WeightOf = [](const Member &Subject) {
    return isLive(Subject)
               ? Common::rendezvousWeight(Subject.Node,
                                          std::to_string(Subject.Incarnation))
               : 0;
  };
  std::uint64_t Result = WeightOf(Self);
  for (const auto &[Name, Known] : Others)
    Result ^= WeightOf(Known.Info);
  return Result;
}

} // namespace Membership
