#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Common/Time.h"

namespace Load {

// A class of calls within a run.
struct CallClass {
  // The path, to which "?id=..." is added.
  std::string Path = "/";
  // Text that is added to the query unchanged.
  std::string Query;
  // The relative frequency of the class.
  double Weight = 1;
};

// An interval during which the rate is multiplied.
struct Swing {
  double Factor = 1;
  Common::Micros Start{0};
  Common::Micros Length{0};
};

// Throw UsageError if the text is malformed.
CallClass parseCallClass(const std::string &Text); // PATH QUERY WEIGHT
Swing parseSwing(const std::string &Text);         // N@START+LENGTH

// Computes when calls are due and selects the class of each. Classes are drawn
// at random by their weights; the same seed gives the same sequence.
class LoadPlan {
public:
  LoadPlan(double CallsPerSecond, std::vector<Swing> Swings,
           std::vector<CallClass> Classes, std::uint64_t Seed);

  // The interval between a call due at the given time since the start and the
  // next one.
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
