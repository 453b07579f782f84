#include "Membership/ListFetch.h"

#include <algorithm>

namespace Membership {

namespace {

constexpr Common::Millis InitialRetryDelay{400};
constexpr int MaxDoublings = 4;
constexpr int MaxAttempts = 4;

} // namespace

void ListFetch::begin(std::vector<SocketAddress> Candidates, bool KeepRetrying,
                      Common::SteadyTime Now) {
  if (isRunning() || Candidates.empty())
    return;
  Sources = std::move(Candidates);
  Persistent = KeepRetrying;
  Cursor.clear();
  Attempts = 0;
  NextAt = Now;
}

std::optional<std::pair<SocketAddress, ListRequest>>
ListFetch::nextRequest(Common::SteadyTime Now) {
  if (!isRunning() || Now < NextAt)
    return std::nullopt;
  if (!Persistent && Attempts >= MaxAttempts) {
    Sources.clear();
    return std::nullopt;
  }
  // A source that responded is used again; without a response, a random one is
  // picked.
  if (Attempts != 0 || Cursor.empty())
    CurrentSource = Sources[Random() % Sources.size()];
  const auto MaxDelay =
      InitialRetryDelay * (1 << std::min(Attempts, MaxDoublings));
  const auto MinMicros =
      std::chrono::duration_cast<Common::Micros>(MaxDelay).count() / 2;
  std::uniform_int_distribution<std::int64_t> Jitter(MinMicros, 2 * MinMicros);
  NextAt = Now + Common::Micros(Jitter(Random));
  ++Attempts;
  return std::pair(CurrentSource, ListRequest{Cursor});
}

void ListFetch::handlePiece(const ListPiece &Piece, const SocketAddress &From,
                            Common::SteadyTime Now) {
  if (!isRunning() || From != CurrentSource || Piece.LastName < Cursor)
    return;
  Cursor = Piece.LastName;
  Attempts = 0;
  NextAt = Now;
  if (Piece.IsLast)
    Sources.clear();
}

} // namespace Membership
