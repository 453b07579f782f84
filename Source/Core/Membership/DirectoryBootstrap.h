#pragma once

#include <optional>
#include <random>

#include "Common/Time.h"
#include "Membership/NodeDirectory.h"

namespace Membership {

enum class DirectoryStep { None, Announce, List };

// Decides when a node turns to the directory: it announces itself, then lists
// the others until it has joined them. Since each node announces itself before
// it lists, of two nodes that start at once one finds the other. A node that
// has joined leaves the directory alone, unless it finds itself alone again.
// It lists once at least: whoever found it meanwhile may know as few others.
class Introducer {
public:
  Introducer(std::string DataCentre, std::uint64_t Seed)
      : DataCentre(std::move(DataCentre)), Random(Seed) {}

  // The step to take now; its end has to be told before the next one.
  DirectoryStep next(Common::SteadyTime Now);
  void announced(bool Done, Common::SteadyTime Now);
  // The places to join through, or none.
  Introductions listed(bool Done, const std::vector<DirectoryEntry> &Found,
                       Common::SteadyTime Now);
  // How many nodes are known to be alive, this one among them.
  void membersKnown(std::size_t Count);

private:
  void wait(Common::SteadyTime Now);

  std::string DataCentre;
  std::mt19937_64 Random;
  bool Announced = false;
  bool Listed = false;
  bool Busy = false;
  bool Joined = false;
  int Tries = 0;
  Common::SteadyTime NextAt;
};

} // namespace Membership
