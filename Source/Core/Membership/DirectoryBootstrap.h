#pragma once

#include <optional>
#include <random>

#include "Common/Time.h"
#include "Membership/NodeDirectory.h"

namespace Membership {

enum class DirectoryStep { None, Announce, List };

// Schedules the directory requests of a node: it announces itself, then lists
// the other nodes until it has joined them. Each node announces itself before
// it lists, so of two nodes that start at the same time at least one finds the
// other. A node that has joined sends no more requests, unless it becomes the
// only known member again, or the directory loses entries. It lists at least
// once, even if another node found it first, because that node may know just as
// few members.
class DirectoryBootstrap {
public:
  DirectoryBootstrap(std::string DataCentre, std::uint64_t Seed)
      : DataCentre(std::move(DataCentre)), Random(Seed) {}

  // Returns the request to send now. Its result has to be reported before the
  // next request is returned.
  DirectoryStep nextStep(Common::SteadyTime Now);
  void onAnnounced(bool Succeeded, Common::SteadyTime Now);
  // Returns the peers to join through; empty if the request failed or found
  // none.
  BootstrapPeers onListed(bool Succeeded,
                          const std::vector<DirectoryEntry> &Entries,
                          Common::SteadyTime Now);
  // The directory may have lost entries: announces this node again, and lists
  // the nodes that have announced themselves since.
  void restart(Common::SteadyTime Now);
  // Sets the number of nodes that are known to be alive, this one included.
  void setLiveMembers(std::size_t Count);

private:
  void scheduleRetry(Common::SteadyTime Now);

  std::string DataCentre;
  std::mt19937_64 Random;
  bool Announced = false;
  bool Listed = false;
  bool RequestPending = false;
  bool Joined = false;
  int Attempts = 0;
  Common::SteadyTime NextAt;
};

} // namespace Membership
