#pragma once

#include <optional>
#include <random>
#include <vector>

#include "Routing/ChoicePolicy.h"

namespace Routing {

// Chooses the better of two random servers in the local data centre by measured
// latency, calls of this node in flight and, while it is fresh, reported load.
// Slow or failing servers are ejected for a while, new servers get more calls
// gradually, and calls spill over to another data centre when an answer is
// expected sooner from there.
class AdaptiveChoice {
public:
  explicit AdaptiveChoice(std::uint64_t Seed) : Random(Seed) {}
  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  // The servers of the local data centre, or those of all others.
  struct ServerPool {
    std::vector<std::size_t> Members;
    // How many of them have answered a call of the kind.
    std::size_t MeasuredCount = 0;
    // Median of the servers that have answered; assumed for those that have
    // not.
    Common::Micros MedianLatency{1'000};
  };

  ServerPool makePool(const ChoiceInput &Input, bool IsLocal) const;
  void ejectOutliers(const ChoiceInput &Input, const ServerPool &Pool);
  std::vector<std::size_t> candidates(const ChoiceInput &Input,
                                      const ServerPool &Pool);
  std::optional<std::size_t> betterOfTwo(const ChoiceInput &Input,
                                         const ServerPool &Pool);
  bool passesSlowStart(const ServerRecord &Record, Common::SteadyTime Now);

  std::mt19937_64 Random;
};

} // namespace Routing
