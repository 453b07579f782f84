#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Routing/ServerRecords.h"
#include "Routing/ServerView.h"

namespace Routing {

struct ChoiceInput {
  const std::vector<ServerEntry> &Servers;
  // Policies keep there which servers they have set aside.
  ServerRecords &Records;
  const std::string &OwnDataCentre;
  // Servers that failed an earlier attempt of the same call.
  const std::set<std::string> &Excluded;
  Common::SteadyTime Now;
  // The kind of the call that a server is chosen for.
  const std::string &Kind;
  // Time in which the answer is worth most; 0 when it isn't stated.
  Common::Micros TargetLeft = Common::Micros(0);
};

// Chooses the index of a server, or none.
template <class P>
concept ChoicePolicy = requires(P &Policy, const ChoiceInput &Input) {
  { Policy.choose(Input) } -> std::same_as<std::optional<std::size_t>>;
};

// The indices that may be chosen: those of the own data centre if it has any.
std::vector<std::size_t> eligibleServers(const ChoiceInput &Input);

class RandomChoice {
public:
  explicit RandomChoice(std::uint64_t Seed) : Random(Seed) {}
  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  std::mt19937_64 Random;
};

class RoundRobinChoice {
public:
  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  std::size_t Next = 0;
};

// The server with the fewest own calls in flight for each slot.
class LeastRequests {
public:
  explicit LeastRequests(std::uint64_t Seed) : Random(Seed) {}
  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  std::mt19937_64 Random;
};

// The better of two random servers by own calls in flight and reported queue,
// for each slot. Two choices keep near nodes from herding to one server.
class TwoChoices {
public:
  explicit TwoChoices(std::uint64_t Seed) : Random(Seed) {}
  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  std::mt19937_64 Random;
};

} // namespace Routing
