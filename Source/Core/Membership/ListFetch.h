#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Membership/Datagram.h"

namespace Membership {

// Fetches the member list piece by piece. A piece that does not come is asked
// for again, of another source, after a delay that doubles and is jittered.
class ListFetch {
public:
  explicit ListFetch(std::uint64_t Seed) : Random(Seed) {}

  // Ignored while a fetch runs. Without Persistent it is given up after some
  // silence, as another may serve better.
  void begin(std::vector<Place> From, bool Persistent, Common::SteadyTime Now);
  bool isRunning() const { return !Sources.empty(); }

  // The request to send now, if one is due.
  std::optional<std::pair<Place, ListRequest>> due(Common::SteadyTime Now);
  // Takes a piece that came from the asked source.
  void take(const ListPiece &Piece, const Place &From, Common::SteadyTime Now);

private:
  std::mt19937_64 Random;
  std::vector<Place> Sources;
  Place Asked;
  std::string After;
  Common::SteadyTime NextAt;
  int Tries = 0;
  bool Persistent = false;
};

} // namespace Membership
