#include "Membership/Rendezvous.h"

#include <algorithm>
#include <map>

#include "Common/Rendezvous.h"
#include "Membership/MemberTable.h"

namespace Membership {

namespace {

std::vector<const Member *> highestRanked(std::vector<const Member *> Members,
                                          const std::string &Key,
                                          std::size_t Count) {
  std::vector<std::pair<std::uint64_t, const Member *>> Ranked;
  Ranked.reserve(Members.size());
  for (const Member *Candidate : Members)
    Ranked.emplace_back(Common::rendezvousWeight(Key, Candidate->Node),
                        Candidate);
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first > Right.first;
            });
  Members.clear();
  for (std::size_t I = 0; I < std::min(Count, Ranked.size()); ++I)
    Members.push_back(Ranked[I].second);
  return Members;
}

std::vector<const Member *>
liveMembers(const std::vector<const Member *> &Members,
            const std::string &DataCentre) {
  std::vector<const Member *> Result;
  for (const Member *Candidate : Members)
    if (isLive(*Candidate) && Candidate->DataCentre == DataCentre)
      Result.push_back(Candidate);
  return Result;
}

} // namespace

std::vector<const Member *>
representatives(const std::vector<const Member *> &Members,
                const std::string &DataCentre) {
  return highestRanked(liveMembers(Members, DataCentre),
                       "summary/" + DataCentre, RepresentativesPerDataCentre);
}

std::set<std::string>
summarisedNodes(const std::vector<const Member *> &Members,
                const std::string &DataCentre) {
  std::set<std::string> Result;
  for (const Member *Representative : representatives(Members, DataCentre))
    Result.insert(Representative->Node);
  // By version as well, so that other data centres know servers of each version
  // while a service is moved to another one.
  std::map<std::pair<std::string, std::string>, std::vector<const Member *>>
      ByServiceAndVersion;
  for (const Member *Provider : liveMembers(Members, DataCentre))
    for (const Endpoint &Server : Provider->Endpoints)
      ByServiceAndVersion[{Server.Service, Server.Version}].push_back(Provider);
  for (const auto &[Key, Providers] : ByServiceAndVersion)
    for (const Member *Provider :
         highestRanked(Providers, Key.first, EndpointsPerService))
      Result.insert(Provider->Node);
  return Result;
}

} // namespace Membership
