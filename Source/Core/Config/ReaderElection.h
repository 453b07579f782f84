#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Config/ObjectSet.h"

namespace Config {

// What spreading has to know about a living node.
struct ReplicationPeer {
  std::string Node;
  std::string DataCentre;
  // Where messages for it go.
  std::string Address;
  Version Held = 0;
};

// Decides whether this node reads the log for its data centre. The nodes are
// ranked by rendezvous hashing, so all agree as far as they see the same
// members. A node reads when no better rank was heard of for as long as its
// rank demands; two readers do no harm.
class ReaderElection {
public:
  ReaderElection(std::string Node, std::string DataCentre,
                 Common::Duration TakeoverDelay, Common::SteadyTime Start);

  void setPeers(const std::vector<ReplicationPeer> &Alive,
                Common::SteadyTime Now);
  // A node of the data centre told that it reads the log.
  void heardReader(const std::string &Node, Common::SteadyTime Now);

  std::size_t rank() const { return Rank; }
  bool isReader(Common::SteadyTime Now) const;
  // The nodes that take over first, of worse rank than this one.
  const std::vector<std::string> &standbys() const { return Standbys; }
  // The rank of this data centre among all.
  std::size_t dataCentreRank() const { return DataCentreRank; }

private:
  std::string Node;
  std::string DataCentre;
  Common::Duration TakeoverDelay;
  Common::SteadyTime QuietSince;
  std::map<std::string, std::size_t> Ranks;
  std::size_t Rank = 0;
  std::size_t DataCentreRank = 0;
  std::vector<std::string> Standbys;
};

} // namespace Config
