#include "Routing/RecentLatency.h"

#include <algorithm>

namespace Routing {

void RecentLatency::add(Common::Micros Latency, Common::SteadyTime Now) {
  Samples[SampleCount % Capacity] = Latency;
  ++SampleCount;
  LastSampleAt = Now;
  if (SampleCount >= MinSamples && SampleCount % UpdateInterval == 0)
    updateQuantiles();
}

bool RecentLatency::isFresh(Common::SteadyTime Now,
                            Common::Duration Age) const {
  return SampleCount > 0 && Now - LastSampleAt <= Age;
}

void RecentLatency::updateQuantiles() {
  std::array<Common::Micros, Capacity> Sorted = Samples;
  const std::size_t Count = std::min(SampleCount, Capacity);
  std::sort(Sorted.begin(), Sorted.begin() + Count);
  const auto Quantile = [&](double Probability) {
    return Sorted[static_cast<std::size_t>(Probability *
                                           static_cast<double>(Count - 1))];
  };
  Low = Quantile(LowProbability);
  Median = Quantile(0.5);
  High = Quantile(HighProbability);
}

std::optional<Common::Micros>
RecentLatency::ifAvailable(Common::Micros Value) const {
  if (SampleCount < MinSamples)
    return std::nullopt;
  return Value;
}

} // namespace Routing
