#include "Recovery/EraTracker.h"

namespace Recovery {

EraOrder EraTracker::compare(std::optional<StoreEra> Stated) const {
  if (!Stated || Stated == Current)
    return EraOrder::Same;
  if (!Current)
    return EraOrder::First;
  return *Stated > *Current ? EraOrder::Later : EraOrder::Earlier;
}

EraOrder EraTracker::observe(std::optional<StoreEra> Stated) {
  const EraOrder Result = compare(Stated);
  if (Result == EraOrder::First || Result == EraOrder::Later)
    Current = Stated;
  return Result;
}

} // namespace Recovery
