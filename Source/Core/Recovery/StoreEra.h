#pragma once

#include <cstdint>
#include <optional>

#include "Common/ResultCode.h"

namespace Recovery {

// Counts how often the platform's store has come back from an older copy. What
// it acknowledged in an earlier era may be lost, and the positions of an
// earlier era may hold other records.
using StoreEra = std::int64_t;

// The outcome of a call to the store, and the era in which the store answered.
// A store without copies states no era.
struct StoreAnswer {
  StoreAnswer(Common::ResultCode Code, std::optional<StoreEra> Era = {})
      : Code(Code), Era(Era) {}

  Common::ResultCode Code;
  std::optional<StoreEra> Era;
};

} // namespace Recovery
