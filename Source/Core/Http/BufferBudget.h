#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"

namespace Http {

struct BufferLimits {
  // For all holders together.
  std::size_t Bytes = 64 << 20;
  // What an ordinary request takes at most. Larger requests that are incomplete
  // give way to such a request, also while they make progress.
  std::size_t OrdinaryBytes = 128 << 10;
  // A holder from which nothing came for this long gives way to any other.
  Common::Duration StallTime = Common::Millis(1'000);
  // So does one that was slower than this ever since it began, which is far
  // below the rate of the slowest links.
  std::int64_t BytesPerSecond = 16 << 10;
};

// Decides how much a server may hold for each of its callers, and who gives way
// when it would be too much. It does no I/O: the server reports what it is
// about to hold, and closes the connections that have to give way.
class BufferBudget {
public:
  using HolderId = std::uint64_t;

  struct Decision {
    bool Granted = true;
    // These hold nothing any more and have to be closed.
    std::vector<HolderId> GiveWay;
  };

  explicit BufferBudget(const BufferLimits &Limits) : Limits(Limits) {}

  // Asks for Bytes in total for this holder. If they are refused, the holder
  // keeps what it had.
  Decision request(HolderId Id, std::size_t Bytes, Common::SteadyTime Now);
  // Records bytes that are held in any case, such as those of a response.
  // Fewer bytes than before count as progress. Returns the holders that have to
  // give way.
  std::vector<HolderId> record(HolderId Id, std::size_t Bytes,
                               Common::SteadyTime Now);
  // Bytes were received from or sent to the holder.
  void progressed(HolderId Id, std::size_t Bytes, Common::SteadyTime Now);
  // Whether the holder may be asked to give way. A new one may.
  void setMayGiveWay(HolderId Id, bool Value);
  void release(HolderId Id);

  std::size_t heldBytes() const { return Held; }

private:
  struct Holder {
    std::size_t Bytes = 0;
    std::int64_t Moved = 0;
    Common::SteadyTime Begun;
    Common::SteadyTime LastMoved;
    bool MayGiveWay = true;
  };

  Holder &holder(HolderId Id, Common::SteadyTime Now);
  bool isStalled(const Holder &Candidate, Common::SteadyTime Now) const;
  // Frees at least Excess bytes, or nothing and returns an empty list. Stalled
  // holders give way first, then those that hold more than LargerThan.
  std::vector<HolderId> free(HolderId Requester, std::size_t Excess,
                             std::size_t LargerThan, Common::SteadyTime Now);

  BufferLimits Limits;
  std::size_t Held = 0;
  std::unordered_map<HolderId, Holder> Holders;
};

} // namespace Http
