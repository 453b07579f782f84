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
  // Writable, as policies keep the ejection state of servers in it.
  ServerRecords &Records;
  const std::string &LocalDataCentre;
  // Servers that must not be chosen, as the call has an attempt in flight there
  // or one that failed.
  const std::set<std::string> &Excluded;
  Common::SteadyTime Now;
  // The kind of the call that a server is chosen for.
  const std::string &Kind;
  // Time left until the latency target is missed, or until the deadline if the
  // kind has no target; 0 when not specified.
  Common::Micros TargetTimeLeft = Common::Micros(0);
  // Data centres whose servers must not be chosen.
  const std::set<std::string> &Unreachable = NoDataCentres;
  // Whether calls of one kind differ in work, so that their expected cost
  // counts.
  bool HasUnevenWork = false;
  // How long the call is expected to hold a slot of a server of usual speed; 0
  // if unknown.
  Common::Micros ExpectedCost = Common::Micros(0);

  bool mayChoose(const ServerEntry &Server) const {
    return !Excluded.contains(Server.Server) &&
           !Unreachable.contains(Server.DataCentre);
  }

  static inline const std::set<std::string> NoDataCentres = {};
};

// A load balancing policy. It chooses the index of a server, or none if no
// server is eligible.
template <class P>
concept ChoicePolicy = requires(P &Policy, const ChoiceInput &Input) {
  { Policy.choose(Input) } -> std::same_as<std::optional<std::size_t>>;
};

// The indices of the servers that aren't excluded: those in the local data
// centre, or all others if it has none.
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

// Chooses the server with the fewest calls of this node in flight per slot.
class LeastRequests {
public:
  explicit LeastRequests(std::uint64_t Seed) : Random(Seed) {}
  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  std::mt19937_64 Random;
};

// Chooses the better of two random servers by the calls of this node in flight
// and the reported queue, per slot. The random choice keeps caller-side nodes
// from all sending to the same server.
class TwoChoices {
public:
  explicit TwoChoices(std::uint64_t Seed) : Random(Seed) {}
  std::optional<std::size_t> choose(const ChoiceInput &Input);

private:
  std::mt19937_64 Random;
};

} // namespace Routing
