#include "Membership/MemberTable.h"

#include <algorithm>

namespace Membership {

namespace {

constexpr int ForgetAfterLimits = 20;

void addServers(const Member &From, Routing::ServerView &View) {
  if (From.State != Health::Alive)
    return;
  for (const Endpoint &Each : From.Endpoints) {
    if (Each.Leaving)
      continue;
    View.ByService[Each.Service].push_back(
        {Each.Server, From.Address + ":" + std::to_string(From.PeerPort),
         From.DataCentre, Each.Slots});
  }
}

} // namespace

MemberTable::MemberTable(Member Self, Common::Duration FailureLimit)
    : Self(std::move(Self)), FailureLimit(FailureLimit) {}

void MemberTable::merge(const Member &Heard, bool FromItself,
                        Common::SteadyTime Now) {
  if (Heard.Node == Self.Node) {
    // An earlier process under this name lives on in others' memory.
    if (Heard.Incarnation > Self.Incarnation)
      Self.Incarnation = Heard.Incarnation + 1;
    return;
  }
  const auto Found = Others.find(Heard.Node);
  if (Found != Others.end() &&
      Heard.Incarnation < Found->second.State.Incarnation)
    return;
  if (Found != Others.end() &&
      Heard.Incarnation == Found->second.State.Incarnation) {
    if (!FromItself)
      return;
    Found->second.HeardAt = Now;
    if (Found->second.State.State == Health::Dead)
      Found->second.State.State = Heard.State;
    Found->second.State.ConfigVersion =
        std::max(Heard.ConfigVersion, Found->second.State.ConfigVersion);
    return;
  }
  Others[Heard.Node] = Known{Heard, Now};
}

void MemberTable::expire(Common::SteadyTime Now) {
  for (auto &[Name, Each] : Others)
    if (Now - Each.HeardAt > FailureLimit && Each.State.State == Health::Alive)
      Each.State.State = Health::Dead;
  std::erase_if(Others, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt > FailureLimit * ForgetAfterLimits;
  });
}

void MemberTable::announce(const Endpoint &Server) {
  ++Self.Incarnation;
  std::erase_if(Self.Endpoints, [&](const Endpoint &Each) {
    return Each.Server == Server.Server;
  });
  Self.Endpoints.push_back(Server);
}

void MemberTable::withdraw(const std::string &Server) {
  ++Self.Incarnation;
  std::erase_if(Self.Endpoints,
                [&](const Endpoint &Each) { return Each.Server == Server; });
}

void MemberTable::leave() {
  ++Self.Incarnation;
  Self.State = Health::Left;
}

void MemberTable::setConfigVersion(std::int64_t Version) {
  Self.ConfigVersion = std::max(Version, Self.ConfigVersion);
}

std::vector<Member> MemberTable::others() const {
  std::vector<Member> Result;
  Result.reserve(Others.size());
  for (const auto &[Name, Each] : Others)
    Result.push_back(Each.State);
  return Result;
}

Routing::ServerViewPtr MemberTable::servers() const {
  auto View = std::make_shared<Routing::ServerView>();
  addServers(Self, *View);
  for (const auto &[Name, Each] : Others)
    addServers(Each.State, *View);
  return View;
}

} // namespace Membership
