#include "Report/CallWindow.h"

#include <algorithm>
#include <numeric>

namespace Report {

namespace {

// Bounds the memory that a burst of failures at many servers can use.
constexpr std::size_t MaxFailureKeys = 128;
const FailureKey OtherFailures{0, "other", "other"};

std::size_t latencyClass(Common::Micros Latency) {
  const auto Bound =
      std::lower_bound(LatencyBounds.begin(), LatencyBounds.end(), Latency);
  return static_cast<std::size_t>(Bound - LatencyBounds.begin());
}

void addFailure(std::map<FailureKey, std::uint64_t> &Failures,
                const FailureKey &Key, std::uint64_t Count) {
  const bool HasRoom =
      Failures.size() < MaxFailureKeys || Failures.contains(Key);
  Failures[HasRoom ? Key : OtherFailures] += Count;
}

} // namespace

void CallCounts::add(const CallSample &Sample) {
  const Outcome Class = classifyOutcome(Sample);
  ++ByOutcome[static_cast<std::size_t>(Class)];
  if (Class == Outcome::Good) {
    ++ByLatency[latencyClass(Sample.Latency)];
    return;
  }
  const int Result = Class == Outcome::ServerError
                         ? Sample.HttpStatus
                         : Common::resultCodeNumber(Sample.Result);
  addFailure(Failures, {Result, Sample.DataCentre, Sample.Server}, 1);
}

void CallCounts::add(const CallCounts &Other) {
  for (std::size_t Index = 0; Index < ByOutcome.size(); ++Index)
    ByOutcome[Index] += Other.ByOutcome[Index];
  for (std::size_t Index = 0; Index < ByLatency.size(); ++Index)
    ByLatency[Index] += Other.ByLatency[Index];
  for (const auto &[Key, Count] : Other.Failures)
    addFailure(Failures, Key, Count);
}

std::uint64_t CallCounts::total() const {
  return std::accumulate(ByOutcome.begin(), ByOutcome.end(), std::uint64_t(0));
}

std::uint64_t CallCounts::slowerThan(Common::Micros Limit) const {
  std::uint64_t Slow = 0;
  for (std::size_t Index = 0; Index < ByLatency.size(); ++Index)
    if (Index == LatencyBounds.size() || LatencyBounds[Index] > Limit)
      Slow += ByLatency[Index];
  return Slow;
}

void CallWindow::record(const CallSample &Sample, Common::SteadyTime Now) {
  if (Buckets.empty() || Now >= Buckets.back().Begin + BucketLength) {
    const auto SinceEpoch = Now.time_since_epoch();
    Buckets.push_back(
        {Common::SteadyTime(SinceEpoch - SinceEpoch % BucketLength), {}});
  }
  Buckets.back().Counts.add(Sample);
  while (Buckets.front().Begin + BucketLength + Retention <= Now)
    Buckets.pop_front();
}

CallCounts CallWindow::last(Common::Duration Length,
                            Common::SteadyTime Now) const {
  CallCounts Sum;
  for (const Bucket &Entry : Buckets)
    if (Entry.Begin + BucketLength > Now - Length)
      Sum.add(Entry.Counts);
  return Sum;
}

} // namespace Report
