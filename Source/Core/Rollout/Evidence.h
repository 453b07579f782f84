#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "Common/Time.h"

namespace Rollout {

// How one call ended at its server.
enum class Outcome {
  Answered,
  // The server answered that it failed.
  Failed,
  // No answer, or none before the deadline. Overload causes this as well.
  Unanswered
};

// What is known of the calls of one kind. The counts only grow while a
// roll-out runs, so a lost report is made up for by the next one.
struct KindEvidence {
  // Each bucket is longer than the one before by the square root of two.
  static constexpr std::size_t BucketCount = 32;

  std::int64_t Answered = 0;
  std::int64_t Failed = 0;
  std::int64_t Unanswered = 0;
  // Answered calls by service time, without those of servers that have just
  // started and are still slow.
  std::array<std::int64_t, BucketCount> ByTime{};

  bool operator==(const KindEvidence &) const = default;

  std::int64_t total() const { return Answered + Failed + Unanswered; }
  std::int64_t timed() const;
};

using Evidence = std::map<std::string, KindEvidence>;

std::size_t timeBucket(Common::Micros ServiceTime);
void add(Evidence &Sum, const Evidence &Part);
// What was added to Earlier to get Later. Counts that are lower in Later, since
// a node restarted, give 0.
Evidence difference(const Evidence &Later, const Evidence &Earlier);
// All kinds as one.
KindEvidence sumOfKinds(const Evidence &Content);

} // namespace Rollout
