#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>

#include "Common/Time.h"
#include "Report/CallSample.h"

namespace Report {

// Upper bounds of the latency classes. One more class counts slower calls.
constexpr std::array<Common::Micros, 14> LatencyBounds = {
    Common::Micros(1'000),      Common::Micros(2'000),
    Common::Micros(5'000),      Common::Micros(10'000),
    Common::Micros(20'000),     Common::Micros(50'000),
    Common::Micros(100'000),    Common::Micros(200'000),
    Common::Micros(500'000),    Common::Micros(1'000'000),
    Common::Micros(2'000'000),  Common::Micros(5'000'000),
    Common::Micros(20'000'000), Common::Micros(60'000'000)};

// Result code and backend server by which failed calls are counted. Result is
// an HTTP status if the server answered with an error.
struct FailureKey {
  int Result = 0;
  std::string DataCentre;
  std::string Server;

  bool operator<(const FailureKey &Other) const {
    return std::tie(Result, DataCentre, Server) <
           std::tie(Other.Result, Other.DataCentre, Other.Server);
  }
};

// Counts of calls during an interval.
struct CallCounts {
  std::array<std::uint64_t, OutcomeCount> ByOutcome = {};
  std::array<std::uint64_t, LatencyBounds.size() + 1> ByLatency = {};
  std::map<FailureKey, std::uint64_t> Failures;

  void add(const CallSample &Sample);
  void add(const CallCounts &Other);
  std::uint64_t total() const;
  // The number of good calls slower than Limit, with the resolution of
  // LatencyBounds.
  std::uint64_t slowerThan(Common::Micros Limit) const;
};

// The calls of the last hours in one-minute buckets, for burn rates.
class CallWindow {
public:
  static constexpr std::chrono::minutes BucketLength{1};
  static constexpr std::chrono::hours Retention{6};

  void record(const CallSample &Sample, Common::SteadyTime Now);
  // The calls of the last Length, with the resolution of a bucket.
  CallCounts last(Common::Duration Length, Common::SteadyTime Now) const;

private:
  struct Bucket {
    Common::SteadyTime Begin;
    CallCounts Counts;
  };

  std::deque<Bucket> Buckets;
};

} // namespace Report
