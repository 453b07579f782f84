#include "Recovery/RewriteSchedule.h"

namespace Recovery {

EraOrder RewriteSchedule::observe(StoreEra Stated, Common::SteadyTime Now) {
  const EraOrder Result = Eras.observe(Stated);
  if (Result == EraOrder::Later && !DueAt) {
    std::uniform_int_distribution<std::int64_t> Delay(
        0, Common::Micros(MaxDelay).count());
    DueAt = Now + Common::Micros(Delay(Random));
  }
  return Result;
}

bool RewriteSchedule::takeDue(Common::SteadyTime Now) {
  if (!DueAt || Now < *DueAt)
    return false;
  DueAt.reset();
  return true;
}

} // namespace Recovery
