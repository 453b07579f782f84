#include "Membership/Rendezvous.h"

#include <algorithm>
#include <map>

#include "Common/Rendezvous.h"
#include "Membership/MemberTable.h"

namespace Membership {

namespace {

std::vector<const Member *> heaviest(std::vector<const Member *> Members,
                                     const std::string &Key,
                                     std::size_t Count) {
  std::vector<std::pair<std::uint64_t, const Member *>> Weighed;
  Weighed.reserve(Members.size());
  for (const Member *Each : Members)
    Weighed.emplace_back(Common::rendezvousWeight(Key, Each->Node), Each);
  std::sort(Weighed.begin(), Weighed.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first > Right.first;
            });
  Members.clear();
  for (std::size_t I = 0; I < std::min(Count, Weighed.size()); ++I)
    Members.push_back(Weighed[I].second);
  return Members;
}

std::vector<const Member *> liveIn(const std::vector<const Member *> &Members,
                                   const std::string &DataCentre) {
  std::vector<const Member *> Result;
  for (const Member *Each : Members)
    if (isLive(*Each) && Each->DataCentre == DataCentre)
      Result.push_back(Each);
  return Result;
}

} // namespace

std::vector<const Member *>
representatives(const std::vector<const Member *> &Members,
                const std::string &DataCentre) {
  return heaviest(liveIn(Members, DataCentre), "summary/" + DataCentre,
                  RepresentativesPerDataCentre);
}

std::set<std::string> summarised(const std::vector<const Member *> &Members,
                                 const std::string &DataCentre) {
  std::set<std::string> Result;
  for (const Member *Each : representatives(Members, DataCentre))
    Result.insert(Each->Node);
  std::map<std::string, std::vector<const Member *>> ByService;
  for (const Member *Each : liveIn(Members, DataCentre))
    for (const Endpoint &Server : Each->Endpoints)
      ByService[Server.Service].push_back(Each);
  for (const auto &[Service, Holders] : ByService)
    for (const Member *Each : heaviest(Holders, Service, EndpointsPerService))
      Result.insert(Each->Node);
  return Result;
}

} // namespace Membership
