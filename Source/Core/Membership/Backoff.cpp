#include "Membership/Backoff.h"

#include <algorithm>

namespace Membership {

void Backoff::failed(Common::SteadyTime Now) {
  std::uniform_int_distribution<std::int64_t> Jitter(Delay.count() / 2,
                                                     Delay.count());
  NextAt = Now + Common::Micros(Jitter(Random));
  Delay = std::min(Delay * 2, MaxDelay);
}

} // namespace Membership
