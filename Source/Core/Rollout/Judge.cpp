#include "Rollout/Judge.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace Rollout {

namespace {

// A single failure may have any cause.
constexpr std::int64_t MinFailures = 5;
// By how much the share of failed calls may exceed that of the other versions,
// whatever the number of calls is.
constexpr double AllowedExcess = 0.04;
// Standard deviations beyond which the difference of two shares is no chance.
constexpr double SignificantDeviations = 3;
// With hardly any failures among the base, its share says little.
constexpr double MinAssumedShare = 0.02;
// A call counts as slow when it takes about 2.8 times the typical time.
constexpr std::size_t SlowBuckets = 3;
constexpr std::int64_t MinTimedCalls = 12;
constexpr std::int64_t MinSlowCalls = 6;
// By how much the share of slow calls may exceed that of the other versions.
constexpr double AllowedSlowShare = 0.2;

double share(std::int64_t Part, std::int64_t Whole) {
  return Whole == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

// The standard deviation of the difference between the shares of two samples
// that have the same failure rate.
double deviation(double BaseShare, std::int64_t Calls, std::int64_t BaseCalls) {
  const double Assumed = std::max(BaseShare, MinAssumedShare);
  double Inverse = 1 / static_cast<double>(Calls);
  if (BaseCalls > 0)
    Inverse += 1 / static_cast<double>(BaseCalls);
  return std::sqrt(Assumed * (1 - Assumed) * Inverse);
}

std::int64_t failures(const KindEvidence &Calls, Comparison By) {
  return By == Comparison::FailuresOnly ? Calls.Failed
                                        : Calls.Failed + Calls.Unanswered;
}

std::size_t medianBucket(const KindEvidence &Calls) {
  std::int64_t Rest = Calls.timed() / 2;
  std::size_t Bucket = 0;
  while (Bucket + 1 < Calls.ByTime.size() && Rest >= Calls.ByTime.at(Bucket))
    Rest -= Calls.ByTime.at(Bucket++);
  return Bucket;
}

std::int64_t slowCalls(const KindEvidence &Calls, std::size_t FirstSlow) {
  std::int64_t Result = 0;
  for (std::size_t Bucket = FirstSlow; Bucket < Calls.ByTime.size(); ++Bucket)
    Result += Calls.ByTime.at(Bucket);
  return Result;
}

std::optional<std::string> findFailures(const KindEvidence &Target,
                                        const KindEvidence &Base,
                                        Comparison By) {
  const std::int64_t Failed = failures(Target, By);
  if (Failed < MinFailures)
    return std::nullopt;
  const double BaseShare = share(failures(Base, By), Base.total());
  const double Excess = share(Failed, Target.total()) - BaseShare;
  if (Excess <= std::max(AllowedExcess, SignificantDeviations *
                                            deviation(BaseShare, Target.total(),
                                                      Base.total())))
    return std::nullopt;
  return "failed " + std::to_string(Failed) + " of " +
         std::to_string(Target.total()) + " against " +
         std::to_string(failures(Base, By)) + " of " +
         std::to_string(Base.total());
}

std::optional<std::string> findSlowness(const KindEvidence &Target,
                                        const KindEvidence &Base) {
  const std::int64_t TargetTimed = Target.timed();
  const std::int64_t BaseTimed = Base.timed();
  if (TargetTimed < MinTimedCalls || BaseTimed < MinTimedCalls)
    return std::nullopt;
  const std::size_t FirstSlow = medianBucket(Base) + SlowBuckets;
  const std::int64_t Slow = slowCalls(Target, FirstSlow);
  const std::int64_t BaseSlow = slowCalls(Base, FirstSlow);
  if (Slow < MinSlowCalls ||
      share(Slow, TargetTimed) <= AllowedSlowShare + share(BaseSlow, BaseTimed))
    return std::nullopt;
  return "slow " + std::to_string(Slow) + " of " + std::to_string(TargetTimed) +
         " against " + std::to_string(BaseSlow) + " of " +
         std::to_string(BaseTimed);
}

} // namespace

Finding judge(const Evidence &Target, const Evidence &Base, Comparison By) {
  for (const auto &[Kind, Calls] : Target) {
    const auto Found = Base.find(Kind);
    const KindEvidence BaseCalls =
        Found == Base.end() ? KindEvidence() : Found->second;
    auto Reason = findFailures(Calls, BaseCalls, By);
    if (!Reason && By == Comparison::FailuresAndTimes)
      Reason = findSlowness(Calls, BaseCalls);
    if (Reason)
      return {true, "kind " + Kind + " " + *Reason};
  }
  if (const auto Reason =
          findFailures(sumOfKinds(Target), sumOfKinds(Base), By))
    return {true, "all kinds " + *Reason};
  return {};
}

} // namespace Rollout
