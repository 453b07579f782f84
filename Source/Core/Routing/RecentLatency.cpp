#include "Routing/RecentLatency.h"

#include <algorithm>

namespace Routing {

void RecentLatency::add(Common::Micros Latency, Common::SteadyTime Now) {
  Samples[Added % Capacity] = Latency;
  ++Added;
  LastAdded = Now;
  if (Added >= LeastSamples && Added % RenewInterval == 0)
    renew();
}

bool RecentLatency::isFresh(Common::SteadyTime Now,
                            Common::Duration Age) const {
  return Added > 0 && Now - LastAdded <= Age;
}

void RecentLatency::renew() {
  std::array<Common::Micros, Capacity> Sorted = Samples;
  const std::size_t Count = std::min(Added, Capacity);
  std::sort(Sorted.begin(), Sorted.begin() + Count);
  const auto At = [&](double Share) {
    return Sorted[static_cast<std::size_t>(Share *
                                           static_cast<double>(Count - 1))];
  };
  Low = At(LowShare);
  Median = At(0.5);
  High = At(HighShare);
}

std::optional<Common::Micros> RecentLatency::known(Common::Micros Value) const {
  if (Added < LeastSamples)
    return std::nullopt;
  return Value;
}

} // namespace Routing
