#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"

namespace Load {

// Latencies of served calls, each measured from the time the call was due.
class Latencies {
public:
  void add(Common::Micros Value);
  void add(const Latencies &Other);
  Common::Micros quantile(double Fraction) const;

private:
  mutable std::vector<Common::Micros> Values;
  mutable bool Sorted = false;
};

// The results of one class of calls.
struct ClassReport {
  std::string Name;
  int Sent = 0;
  int Served = 0;
  Latencies Latency;
};

// The number of calls by outcome in one time window of a run.
struct Window {
  static constexpr Common::Millis Length{100};
  int Due = 0;
  int Served = 0;
  int Refused = 0;
  int Failed = 0;
};

// The results of a run.
struct LoadReport {
  int Sent = 0;
  // Complete answers that belong to the request.
  int Served = 0;
  // Answers that belong to another request. Any of them is a fault.
  int Wrong = 0;
  // Calls without a complete answer.
  int Unanswered = 0;
  // Answers by result code of the node; 0 is a served call.
  std::map<int, int> ByResult;
  std::map<std::string, int> ByServer;
  // Retries and hedges, as reported by the nodes.
  int ExtraAttempts = 0;
  Common::Micros Elapsed{0};
  Latencies Latency;
  std::vector<ClassReport> Classes;
  std::vector<Window> Windows;

  // The window at this time, created when it does not exist yet.
  Window &windowAt(Common::Duration SinceStart);
  // Adds the report of a run with the same classes at the same time.
  void add(const LoadReport &Other);
};

// Formats a report as lines of "key value".
std::string reportText(const LoadReport &Report);

// Formats the windows as comma-separated values with a header line.
std::string windowsText(const LoadReport &Report);

} // namespace Load
