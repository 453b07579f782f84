#include "Routing/VersionedServers.h"

#include <algorithm>

#include "Common/Rendezvous.h"

namespace Routing {

namespace {

// Keeps the servers that all nodes choose alike.
void keepHighestRanked(std::vector<ServerEntry> &Servers,
                       const std::string &Service, std::size_t Count) {
  if (Servers.size() <= Count)
    return;
  const std::string Key = "rollout/" + Service;
  std::sort(Servers.begin(), Servers.end(),
            [&](const ServerEntry &Left, const ServerEntry &Right) {
              return Common::rendezvousWeight(Key, Left.Server) >
                     Common::rendezvousWeight(Key, Right.Server);
            });
  Servers.resize(Count);
}

} // namespace

DividedServers::DividedServers(const std::vector<ServerEntry> &Servers,
                               const std::string &Service,
                               const VersionSplit &Split)
    : Split(Split), Credit(Split.InitialCredit) {
  for (const ServerEntry &Server : Servers)
    (Server.Version == Split.Target ? Target : Others).push_back(Server);
  if (Others.empty()) {
    Others = std::move(Target);
    Target.clear();
  }
  if (Split.MaxTargetServers > 0)
    keepHighestRanked(Target, Service,
                      static_cast<std::size_t>(Split.MaxTargetServers));
}

bool DividedServers::isTargetDue() {
  if (Target.empty())
    return false;
  if (Split.TargetShare >= 1)
    return true;
  // At most one attempt is due, so that none are made up for in a burst.
  Credit = std::min(Credit, 1.0) + Split.TargetShare;
  return Split.TargetShare > 0 && Credit >= 1;
}

std::vector<const std::vector<ServerEntry> *> DividedServers::candidates() {
  if (isTargetDue())
    return {&Target, &Others};
  return {&Others};
}

void DividedServers::onChosen(const ServerEntry &Server) {
  if (!Target.empty() && Server.Version == Split.Target)
    Credit = std::max(Credit - 1, 0.0);
}

void VersionedServers::rebuild(const ServerView &Servers,
                               const VersionPolicy &Policy) {
  std::map<std::string, DividedServers> Divided;
  for (const auto &[Service, Split] : Policy) {
    const auto Found = Servers.ByService.find(Service);
    if (Found == Servers.ByService.end())
      continue;
    DividedServers &Added =
        Divided.emplace(Service, DividedServers(Found->second, Service, Split))
            .first->second;
    const auto Earlier = ByService.find(Service);
    if (Earlier != ByService.end() &&
        Earlier->second.split().Target == Split.Target)
      Added.resume(Earlier->second);
  }
  ByService = std::move(Divided);
}

DividedServers *VersionedServers::find(const std::string &Service) {
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? nullptr : &Found->second;
}

} // namespace Routing
