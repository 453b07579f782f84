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
      TakeoverDelay(TakeoverDelay), SilentSince(Start) {}

void ReaderElection::setPeers(const std::vector<ReplicationPeer> &Alive,
                              Common::SteadyTime Now) {
  std::set<std::string> Names{Node};
  std::set<std::string> DataCentres{DataCentre};
  for (const ReplicationPeer &Peer : Alive) {
    DataCentres.insert(Peer.DataCentre);
    if (Peer.DataCentre == DataCentre)
      Names.insert(Peer.Node);
  }
  const std::size_t RankBefore = Rank;
  Ranks.clear();
  Standbys.clear();
  for (const std::string &Name : Common::rankByRendezvous(
           "reader/" + DataCentre, {Names.begin(), Names.end()})) {
    const std::size_t Position = Ranks.size();
    Ranks.emplace(Name, Position);
    if (Name == Node)
      Rank = Position;
    else if (Ranks.contains(Node) && Standbys.size() < StandbyCount)
      Standbys.push_back(Name);
  }
  const std::vector<std::string> RankedDataCentres = Common::rankByRendezvous(
      "checkpoints", {DataCentres.begin(), DataCentres.end()});
  DataCentreRank =
      static_cast<std::size_t>(std::find(RankedDataCentres.begin(),
                                         RankedDataCentres.end(), DataCentre) -
                               RankedDataCentres.begin());
  // A new better-ranked node gets time for its first announcement.
  if (Rank > RankBefore)
    SilentSince = Now;
}

void ReaderElection::handleReaderAnnouncement(const std::string &Other,
                                              Common::SteadyTime Now) {
  const auto Found = Ranks.find(Other);
  if (Found != Ranks.end() && Found->second < Rank)
    SilentSince = Now;
}

bool ReaderElection::isReader(Common::SteadyTime Now) const {
  if (Rank == 0)
    return true;
  // Rank 0 announces only to its standbys that it reads the log, so nodes with
  // a worse rank can't tell whether it does.
  if (Rank > StandbyCount)
    return false;
  return Now - SilentSince > TakeoverDelay * static_cast<int>(Rank);
}

} // namespace Config
