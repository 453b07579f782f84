#pragma once

#include <map>
#include <random>

#include "Routing/ChoicePolicy.h"

namespace Routing {

// Chooses the server with the shortest expected time to an answer, as estimated
// from the reports of the server-side nodes: slots in use, queued calls, and
// how long a call currently holds a slot. A call goes to another data centre
// only if that saves more than the round trip and the cost of the traffic, and
// only if the local data centre isn't expected to answer well within the
// latency target.
//
// Where calls of one kind differ in work, the expected cost of the call and the
// reported work left at each server replace means over many calls. A call then
// leaves its data centre only for a server that is known to have much less
// work: when all are overloaded, sending calls around moves bytes and serves no
// more.
//
// Load pattern: each data centre has few servers, whose speeds differ and
// change, and the demand of the data centres varies independently.
class ExpectedTimeChoice {
public:
  explicit ExpectedTimeChoice(std::uint64_t Seed) : Random(Seed) {}

  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  using Seconds = std::chrono::duration<double>;

  // Typical values of the servers of a service, used where a server has none.
  struct TypicalLoad {
    Seconds SlotTime{0};
    double Pending = 0;
  };
  struct Candidate {
    std::size_t Index = 0;
    Seconds Cost{0};
  };

  static TypicalLoad typicalLoad(const ChoiceInput &Input);
  // The best of the servers that the filter accepts.
  template <class Filter>
  std::optional<Candidate> bestOf(const ChoiceInput &Input,
                                  const TypicalLoad &Typical,
                                  Filter IsCandidate);
  // The best server of the local data centre, or of all others.
  std::optional<Candidate> best(const ChoiceInput &Input, bool IsLocal,
                                const TypicalLoad &Typical);
  Seconds expectedTime(const ChoiceInput &Input, const ServerEntry &Server,
                       const TypicalLoad &Typical);
  // Chooses for calls that differ in work.
  std::optional<std::size_t> chooseByCost(const ChoiceInput &Input,
                                          const TypicalLoad &Typical);
  // The best server of another data centre that has a recent report.
  std::optional<Candidate> bestKnown(const ChoiceInput &Input,
                                     const TypicalLoad &Typical);
  // Whether a call of the kind should go to another data centre whatever it
  // costs, so that there is a report from there.
  bool takeProbe(const ChoiceInput &Input);

  std::mt19937_64 Random;
  std::map<std::string, Common::SteadyTime> LastProbe;
};

static_assert(ChoicePolicy<ExpectedTimeChoice>);

} // namespace Routing
