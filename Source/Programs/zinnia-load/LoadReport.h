#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"

namespace Load {

// Of served calls, from the time each was due.
class Latencies {
public:
  void add(Common::Micros Value);
  void add(const Latencies &Others);
  Common::Micros quantile(double Share) const;

private:
  mutable std::vector<Common::Micros> Values;
  mutable bool Sorted = false;
};

struct ClassReport {
  std::string Name;
  int Sent = 0;
  int Served = 0;
  Latencies Times;
};

// What happened in one window of a run.
struct Window {
  static constexpr Common::Millis Length{100};
  int Due = 0;
  int Served = 0;
  int Refused = 0;
  int Failed = 0;
};

struct LoadReport {
  int Sent = 0;
  // Whole answers to the request that was asked.
  int Served = 0;
  // Answers that belong to another request. Must stay 0.
  int Wrong = 0;
  // Calls without any answer.
  int Unanswered = 0;
  // Answers by result code of the node, 0 for served.
  std::map<int, int> ByResult;
  std::map<std::string, int> ByServer;
  // Retries and hedges, as the nodes tell them.
  int ExtraAttempts = 0;
  Common::Micros Elapsed{0};
  Latencies Times;
  std::vector<ClassReport> Classes;
  std::vector<Window> Windows;

  Window &windowAt(Common::Duration SinceStart);
  // Adds a report of the same classes and time.
  void add(const LoadReport &Other);
};

// Prints a report as lines of "key value".
std::string reportText(const LoadReport &Report);

// Prints the windows as comma-separated values with a head line.
std::string windowsText(const LoadReport &Report);

} // namespace Load
