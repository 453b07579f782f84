#include "Rollout/Evidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Rollout {

namespace {

// The upper bound of the first bucket.
constexpr Common::Micros ShortestTime{500};
constexpr double BucketsPerDoubling = 2;

template <class Function>
KindEvidence combine(const KindEvidence &Left, const KindEvidence &Right,
                     Function Combine) {
  KindEvidence Result;
  Result.Answered = Combine(Left.Answered, Right.Answered);
  Result.Failed = Combine(Left.Failed, Right.Failed);
  Result.Unanswered = Combine(Left.Unanswered, Right.Unanswered);
  std::transform(Left.ByTime.begin(), Left.ByTime.end(), Right.ByTime.begin(),
                 Result.ByTime.begin(), Combine);
  return Result;
}

KindEvidence sumOf(const KindEvidence &Left, const KindEvidence &Right) {
  return combine(Left, Right, std::plus<>());
}

} // namespace

std::int64_t KindEvidence::timed() const {
  return std::accumulate(ByTime.begin(), ByTime.end(), std::int64_t{0});
}

std::size_t timeBucket(Common::Micros ServiceTime) {
  if (ServiceTime <= ShortestTime)
    return 0;
  const double Doublings = std::log2(static_cast<double>(ServiceTime.count()) /
                                     static_cast<double>(ShortestTime.count()));
  return std::min(static_cast<std::size_t>(BucketsPerDoubling * Doublings) + 1,
                  KindEvidence::BucketCount - 1);
}

void add(Evidence &Sum, const Evidence &Part) {
  for (const auto &[Kind, Counts] : Part)
    Sum[Kind] = sumOf(Sum[Kind], Counts);
}

Evidence difference(const Evidence &Later, const Evidence &Earlier) {
  Evidence Result = Later;
  for (auto &[Kind, Counts] : Result)
    if (const auto Before = Earlier.find(Kind); Before != Earlier.end())
      Counts = combine(Counts, Before->second,
                       [](std::int64_t Left, std::int64_t Right) {
                         return std::max<std::int64_t>(Left - Right, 0);
                       });
  return Result;
}

KindEvidence sumOfKinds(const Evidence &Content) {
  KindEvidence Result;
  for (const auto &[Kind, Counts] : Content)
    Result = sumOf(Result, Counts);
  return Result;
}

} // namespace Rollout
