#include "Config/ReaderElection.h"

#include <algorithm>
#include <set>

#include "Common/Rendezvous.h"

namespace Config {

namespace {

constexpr std::size_t StandbyCount = 3;

} // namespace

ReaderElection::ReaderElection(std::string Node, std::string DataCentre,
                               Common::Duration TakeoverDelay,
                               Common::SteadyTime Start)
    : Node(std::move(Node)), DataCentre(std::move(DataCentre)),
      TakeoverDelay(TakeoverDelay), QuietSince(Start) {}

void ReaderElection::setPeers(const std::vector<ReplicationPeer> &Alive,
                              Common::SteadyTime Now) {
  std::set<std::string> Names{Node};
  std::set<std::string> DataCentres{DataCentre};
  for (const ReplicationPeer &Each : Alive) {
    DataCentres.insert(Each.DataCentre);
    if (Each.DataCentre == DataCentre)
      Names.insert(Each.Node);
  }
  const std::size_t RankBefore = Rank;
  Ranks.clear();
  Standbys.clear();
  for (const std::string &Each : Common::rankByRendezvous(
           "reader/" + DataCentre, {Names.begin(), Names.end()})) {
    const std::size_t Position = Ranks.size();
    Ranks.emplace(Each, Position);
    if (Each == Node)
      Rank = Position;
    else if (Ranks.contains(Node) && Standbys.size() < StandbyCount)
      Standbys.push_back(Each);
  }
  const std::vector<std::string> Centres = Common::rankByRendezvous(
      "checkpoints", {DataCentres.begin(), DataCentres.end()});
  DataCentreRank = static_cast<std::size_t>(
      std::find(Centres.begin(), Centres.end(), DataCentre) - Centres.begin());
  // A new better rank gets its time to be heard.
  if (Rank > RankBefore)
    QuietSince = Now;
}

void ReaderElection::heardReader(const std::string &Other,
                                 Common::SteadyTime Now) {
  const auto Found = Ranks.find(Other);
  if (Found != Ranks.end() && Found->second < Rank)
    QuietSince = Now;
}

bool ReaderElection::isReader(Common::SteadyTime Now) const {
  if (Rank == 0)
    return true;
  // Only the standbys of rank 0 are told about the reader.
  if (Rank > StandbyCount)
    return false;
  return Now - QuietSince > TakeoverDelay * static_cast<int>(Rank);
}

} // namespace Config
