#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Membership/Datagram.h"

namespace Membership {

// Fetches the member list piece by piece. A piece that does not arrive is
// requested again from a random source, after a delay that doubles with each
// attempt and is jittered.
class ListFetch {
public:
  explicit ListFetch(std::uint64_t Seed) : Random(Seed) {}

  // Starts a fetch, unless one is running. Without KeepRetrying, the fetch is
  // abandoned after a few unanswered requests, since another source may
  // respond.
  void begin(std::vector<SocketAddress> Candidates, bool KeepRetrying,
             Common::SteadyTime Now);
  bool isRunning() const { return !Sources.empty(); }

  // Returns the request to send now, if one is due.
  std::optional<std::pair<SocketAddress, ListRequest>>
  nextRequest(Common::SteadyTime Now);
  // Ignores a piece that is not from the source of the current request.
  void handlePiece(const ListPiece &Piece, const SocketAddress &From,
                   Common::SteadyTime Now);

private:
  std::mt19937_64 Random;
  std::vector<SocketAddress> Sources;
  SocketAddress CurrentSource;
  // Name of the last member received.
  std::string Cursor;
  Common::SteadyTime NextAt;
  int Attempts = 0;
  bool Persistent = false;
};

} // namespace Membership
