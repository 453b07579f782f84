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
  for (const Endpoint &Each : From.Endpoints) {
    if (Each.Leaving)
      continue;
    View.ByService[Each.Service].push_back(
        {Each.Server, From.Address + ":" + std::to_string(From.PeerPort),
         From.DataCentre, Each.Slots});
  }
}

bool precedes(const Member &Heard, const Member &Held) {
  if (Heard.Incarnation != Held.Incarnation)
    return Heard.Incarnation > Held.Incarnation;
  return Heard.State > Held.State;
}

} // namespace

bool isLive(const Member &Each) {
  return Each.State == Health::Alive || Each.State == Health::Suspect;
}

MemberTable::MemberTable(Member Self) : Self(std::move(Self)) {}

bool MemberTable::merge(const Member &Heard, Common::SteadyTime Now) {
  if (Heard.Node == Self.Node)
    return mergeSelf(Heard);
  // Only the nodes of its own data centre probe a member.
  if (Heard.State == Health::Suspect && Heard.DataCentre != Self.DataCentre)
    return false;
  const auto Found = Others.find(Heard.Node);
  if (Found == Others.end()) {
    Others.emplace(Heard.Node, Known{Heard, Now});
    ++Revision;
    return true;
  }
  Member &Held = Found->second.State;
  const std::int64_t Version =
      std::max(Held.ConfigVersion, Heard.ConfigVersion);
  const bool Newer = precedes(Heard, Held);
  if (Newer) {
    Found->second = Known{Heard, Now};
    ++Revision;
  }
  Found->second.State.ConfigVersion = Version;
  return Newer;
}

// An earlier process under this name, or a suspicion, lives on in others.
bool MemberTable::mergeSelf(const Member &Heard) {
  const bool Refute =
      Heard.Incarnation > Self.Incarnation ||
      (Heard.Incarnation == Self.Incarnation && Heard.State > Self.State);
  if (Refute) {
    Self.Incarnation = Heard.Incarnation + 1;
    ++Revision;
  }
  return Refute;
}

void MemberTable::hearVersion(const std::string &Node, std::int64_t Version) {
  const auto Found = Others.find(Node);
  if (Found != Others.end())
    Found->second.State.ConfigVersion =
        std::max(Found->second.State.ConfigVersion, Version);
}

bool MemberTable::suspect(const std::string &Node, Common::SteadyTime Now) {
  const auto Found = Others.find(Node);
  if (Found == Others.end() || Found->second.State.State != Health::Alive)
    return false;
  Found->second.State.State = Health::Suspect;
  ++Revision;
  Found->second.Since = Now;
  return true;
}

std::vector<Member> MemberTable::expire(Common::SteadyTime Now,
                                        Common::Duration SuspicionLimit,
                                        Common::Duration ForgetLimit) {
  std::vector<Member> Died;
  for (auto &[Name, Each] : Others) {
    if (Each.State.State != Health::Suspect ||
        Now - Each.Since < SuspicionLimit)
      continue;
    Each.State.State = Health::Dead;
    Each.Since = Now;
    Died.push_back(Each.State);
    ++Revision;
  }
  std::erase_if(Others, [&](const auto &Entry) {
    return !isLive(Entry.second.State) &&
           Now - Entry.second.Since > ForgetLimit;
  });
  return Died;
}

void MemberTable::restartSuspicions(Common::SteadyTime Now) {
  for (auto &[Name, Each] : Others)
    if (Each.State.State == Health::Suspect)
      Each.Since = Now;
}

void MemberTable::announce(const Endpoint &Server) {
  raiseIncarnation();
  std::erase_if(Self.Endpoints, [&](const Endpoint &Each) {
    return Each.Server == Server.Server;
  });
  Self.Endpoints.push_back(Server);
}

void MemberTable::withdraw(const std::string &Server) {
  raiseIncarnation();
  std::erase_if(Self.Endpoints,
                [&](const Endpoint &Each) { return Each.Server == Server; });
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
  return Found == Others.end() ? nullptr : &Found->second.State;
}

std::vector<const Member *> MemberTable::others() const {
  std::vector<const Member *> Result;
  Result.reserve(Others.size());
  for (const auto &[Name, Each] : Others)
    Result.push_back(&Each.State);
  return Result;
}

Routing::ServerViewPtr MemberTable::servers() const {
  auto View = std::make_shared<Routing::ServerView>();
  addServers(Self, *View);
  // Changes come one by one, so more may be held of another data centre than
  // its bound.
  std::map<std::string, std::set<std::string>> Bounded;
  const std::vector<const Member *> Members = others();
  for (const Member *Each : Members) {
    if (Each->DataCentre != Self.DataCentre) {
      const auto [Names, IsNew] = Bounded.try_emplace(Each->DataCentre);
      if (IsNew)
        Names->second = summarised(Members, Each->DataCentre);
      if (!Names->second.contains(Each->Node))
        continue;
    }
    addServers(*Each, *View);
  }
  return View;
}

std::uint64_t MemberTable::digest() const {
  const auto WeightOf = [](const Member &Each) {
    return isLive(Each) ? Common::rendezvousWeight(
                              Each.Node, std::to_string(Each.Incarnation))
                        : 0;
  };
  std::uint64_t Result = WeightOf(Self);
  for (const auto &[Name, Each] : Others)
    Result ^= WeightOf(Each.State);
  return Result;
}

} // namespace Membership
