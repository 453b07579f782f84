#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Common/Time.h"

namespace Load {

// Calls of one sort within a run.
struct CallClass {
  // The path; "?id=..." is added.
  std::string Path = "/";
  // Added to the query as it is.
  std::string Query;
  double Weight = 1;
};

// A time during which the rate is multiplied.
struct Swing {
  double Factor = 1;
  Common::Micros Start{0};
  Common::Micros Length{0};
};

// Throw UsageError for a text of another form.
CallClass parseCallClass(const std::string &Text); // PATH QUERY WEIGHT
Swing parseSwing(const std::string &Text);         // N@START+LENGTH

// Decides when calls are due and of which class each is. The classes are drawn
// by weight with a seed.
class LoadPlan {
public:
  LoadPlan(double CallsPerSecond, std::vector<Swing> Swings,
           std::vector<CallClass> Classes, std::uint64_t Seed);

  // The time after a call that was due at the given time since the start.
  Common::Duration intervalAfter(Common::Duration SinceStart) const;
  std::size_t drawClass();
  const std::vector<CallClass> &classes() const { return Classes; }

private:
  double CallsPerSecond;
  std::vector<Swing> Swings;
  std::vector<CallClass> Classes;
  std::mt19937_64 Random;
  std::discrete_distribution<std::size_t> Draw;
};

} // namespace Load
