#pragma once

#include <optional>
#include <random>

#include "Common/Time.h"
#include "Recovery/EraTracker.h"

namespace Recovery {

// Decides when a node writes its entries to the store again after the store has
// come back from an older copy. All nodes learn of this at about the same time,
// so each of them waits for a random part of MaxDelay.
class RewriteSchedule {
public:
  // The entries have to be back two seconds after the store, and half of that
  // may pass until a node learns of its return.
  static constexpr Common::Millis MaxDelay{1'000};

  explicit RewriteSchedule(std::uint64_t Seed) : Random(Seed) {}

  EraOrder observe(StoreEra Stated, Common::SteadyTime Now);
  // When the entries have to be written again, if they have to.
  std::optional<Common::SteadyTime> dueAt() const { return DueAt; }
  // Returns true once when the entries have to be written again.
  bool takeDue(Common::SteadyTime Now);

  std::optional<StoreEra> current() const { return Eras.current(); }

private:
  std::mt19937_64 Random;
  EraTracker Eras;
  std::optional<Common::SteadyTime> DueAt;
};

} // namespace Recovery
