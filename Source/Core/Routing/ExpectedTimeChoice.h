#pragma once

#include <random>

#include "Routing/ChoicePolicy.h"

namespace Routing {

// Chooses the server from which an answer is expected first, by what the nodes
// beside the servers report: slots in use, calls that wait, and how long a call
// holds a slot at present. A call to another data centre has to save more than
// the way there and the price of its bytes, and none goes there while the own
// data centre answers well within the latency target.
//
// Load pattern: few servers of unequal and changing speed in each data centre,
// and demand that swings apart in the data centres.
class ExpectedTimeChoice {
public:
  explicit ExpectedTimeChoice(std::uint64_t Seed) : Random(Seed) {}

  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  using Seconds = std::chrono::duration<double>;

  // What servers of the service are like on the whole.
  struct Usual {
    Seconds SlotTime{0};
    double Pending = 0;
  };
  struct Candidate {
    std::size_t Index = 0;
    Seconds Cost{0};
  };

  static Usual usualOf(const ChoiceInput &Input);
  // The best server of the own data centre, or of all others.
  std::optional<Candidate> best(const ChoiceInput &Input, bool InOwn,
                                const Usual &Among);
  Seconds expectedTime(const ChoiceInput &Input, const ServerEntry &Server,
                       const Usual &Among);

  std::mt19937_64 Random;
};

static_assert(ChoicePolicy<ExpectedTimeChoice>);

} // namespace Routing
