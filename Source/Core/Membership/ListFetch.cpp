#include "Membership/ListFetch.h"

#include <algorithm>

namespace Membership {

namespace {

constexpr Common::Millis FirstRetry{400};
constexpr int MaxDoublings = 4;
constexpr int MaxTries = 4;

} // namespace

void ListFetch::begin(std::vector<Place> From, bool KeepTrying,
                      Common::SteadyTime Now) {
  if (isRunning() || From.empty())
    return;
  Sources = std::move(From);
  Persistent = KeepTrying;
  After.clear();
  Tries = 0;
  NextAt = Now;
}

std::optional<std::pair<Place, ListRequest>>
ListFetch::due(Common::SteadyTime Now) {
  if (!isRunning() || Now < NextAt)
    return std::nullopt;
  if (!Persistent && Tries >= MaxTries) {
    Sources.clear();
    return std::nullopt;
  }
  // A source that answered is asked on; after a silence any may be.
  if (Tries != 0 || After.empty())
    Asked = Sources[Random() % Sources.size()];
  const auto Longest = FirstRetry * (1 << std::min(Tries, MaxDoublings));
  const auto Half =
      std::chrono::duration_cast<Common::Micros>(Longest).count() / 2;
  std::uniform_int_distribution<std::int64_t> Jitter(Half, 2 * Half);
  NextAt = Now + Common::Micros(Jitter(Random));
  ++Tries;
  return std::pair(Asked, ListRequest{After});
}

void ListFetch::take(const ListPiece &Piece, const Place &From,
                     Common::SteadyTime Now) {
  if (!isRunning() || From != Asked || Piece.LastName < After)
    return;
  After = Piece.LastName;
  Tries = 0;
  NextAt = Now;
  if (Piece.IsLast)
    Sources.clear();
}

} // namespace Membership
