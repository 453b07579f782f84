#pragma once

#include "Recovery/StoreEra.h"

namespace Recovery {

enum class EraOrder {
  // The known era, or none stated.
  Same,
  // The first era that became known.
  First,
  // The store has come back from a copy since the known era.
  Later,
  // The answer was given before the store came back.
  Earlier
};

// Keeps the latest era of the store that an answer has stated. Several eras may
// pass between two answers, and answers of an earlier era may arrive late.
class EraTracker {
public:
  EraOrder compare(std::optional<StoreEra> Stated) const;
  // Also adopts a later era.
  EraOrder observe(std::optional<StoreEra> Stated);

  std::optional<StoreEra> current() const { return Current; }

private:
  std::optional<StoreEra> Current;
};

} // namespace Recovery
