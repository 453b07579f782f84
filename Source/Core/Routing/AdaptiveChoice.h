#pragma once

#include <optional>
#include <random>
#include <vector>

#include "Routing/ChoicePolicy.h"

namespace Routing {

// Chooses by what calls have shown: the better of two random servers of the own
// data centre by latency, own calls in flight and, while it is fresh, reported
// load. Slow or failing servers are set aside for a while, new ones get their
// calls step by step, and calls spill over to another data centre when waiting
// here takes longer than the way there.
class AdaptiveChoice {
public:
  explicit AdaptiveChoice(std::uint64_t Seed) : Random(Seed) {}
  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  // The servers of one side: the own data centre, or all others.
  struct Group {
    std::vector<std::size_t> Members;
    // How many of them have answered a call of the kind.
    std::size_t Measured = 0;
    // Of the servers that have answered; stands in for those that have not.
    Common::Micros MedianLatency{1'000};
  };

  Group makeGroup(const ChoiceInput &Input, bool Own) const;
  void setAside(const ChoiceInput &Input, const Group &From);
  std::vector<std::size_t> candidates(const ChoiceInput &Input,
                                      const Group &From);
  std::optional<std::size_t> betterOfTwo(const ChoiceInput &Input,
                                         const Group &From);
  bool passesSlowStart(const ServerRecord &Record, Common::SteadyTime Now);

  std::mt19937_64 Random;
};

} // namespace Routing
