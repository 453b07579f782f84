#pragma once

#include <random>

#include "Routing/ChoicePolicy.h"

namespace Routing {

// Chooses the server from which an answer is expected first, by what the nodes
// beside the servers report: slots in use, calls that wait, and how long a call
// holds a slot at present. A call to another data centre has to save more than
// the way there and the price of its bytes.
//
// Load pattern: few servers of unequal and changing speed in each data centre,
// and demand that swings apart in the data centres.
class ExpectedTimeChoice {
public:
  explicit ExpectedTimeChoice(std::uint64_t Seed) : Random(Seed) {}

  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  using Seconds = std::chrono::duration<double>;

  Seconds expectedTime(const ChoiceInput &Input, const ServerEntry &Server,
                       Seconds UsualSlotTime);

  std::mt19937_64 Random;
};

static_assert(ChoicePolicy<ExpectedTimeChoice>);

} // namespace Routing
