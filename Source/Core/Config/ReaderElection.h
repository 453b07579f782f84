#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Config/ObjectSet.h"

namespace Config {

// A live node, as far as replication is concerned.
struct ReplicationPeer {
  std::string Node;
  std::string DataCentre;
  // The address to which messages for the node are sent.
  std::string Address;
  Version Held = 0;
};

// Decides whether this node reads the log for its data centre. The nodes are
// ranked by rendezvous hashing, so they agree as far as they see the same
// members. A node becomes the reader when it has received no announcement from
// a better-ranked reader for the takeover delay multiplied by its own rank.
// Having two readers at a time is harmless.
class ReaderElection {
public:
  ReaderElection(std::string Node, std::string DataCentre,
                 Common::Duration TakeoverDelay, Common::SteadyTime Start);

  void setPeers(const std::vector<ReplicationPeer> &Alive,
                Common::SteadyTime Now);
  // A node of the data centre announced that it reads the log.
  void handleReaderAnnouncement(const std::string &Node,
                                Common::SteadyTime Now);

  std::size_t rank() const { return Rank; }
  bool isReader(Common::SteadyTime Now) const;
  // The nodes ranked directly after this one, which take over first.
  const std::vector<std::string> &standbys() const { return Standbys; }
  // The rank of this data centre among all data centres.
  std::size_t dataCentreRank() const { return DataCentreRank; }

private:
  std::string Node;
  std::string DataCentre;
  Common::Duration TakeoverDelay;
  Common::SteadyTime SilentSince;
  std::map<std::string, std::size_t> Ranks;
  std::size_t Rank = 0;
  std::size_t DataCentreRank = 0;
  std::vector<std::string> Standbys;
};

} // namespace Config
