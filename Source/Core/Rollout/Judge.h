#pragma once

#include <string>

#include "Rollout/Evidence.h"

namespace Rollout {

// What the answers of the two versions are compared by.
enum class Comparison {
  FailuresAndTimes,
  // For servers that have more load than the others, so that they may be slow
  // and miss deadlines for that reason alone.
  FailuresOnly
};

struct Finding {
  bool IsBad = false;
  // What was found, with its counts; empty if nothing was.
  std::string Reason;
};

// Compares the calls of the target version with those of the versions that it
// replaces, kind by kind and all kinds together.
Finding judge(const Evidence &Target, const Evidence &Base, Comparison By);

} // namespace Rollout
