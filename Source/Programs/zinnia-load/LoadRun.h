#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Http/Client.h"
#include "Kernel/Task.h"

namespace Load {

struct LoadOptions {
  // "IP:port" of nodes or servers, used in turn.
  std::vector<std::string> Targets;
  std::string Method = "GET";
  // The path; "?id=..." is added.
  std::string Path = "/";
  // Added to the query as it is.
  std::string Query;
  double CallsPerSecond = 100;
  // When above 0, that many callers each send as soon as they have an answer,
  // and CallsPerSecond does not count.
  int ClosedCallers = 0;
  Common::Micros Length{1'000'000};
  Common::Micros CallLimit{5'000'000};
  // Whether each call carries an Idempotency-Key made from its id.
  bool WithKeys = false;
  // Begins each id, so that runs do not share ids.
  std::string IdPrefix = "c";
  // Calls at the start whose latency does not count.
  int WarmUpCalls = 0;
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
  Common::Micros Elapsed{0};
  // Of served calls, from the time each was due.
  std::vector<Common::Micros> Latencies;

  Common::Micros quantile(double Share) const;
};

// Sends calls on a task and reports when all have ended. Calls are due at
// fixed times whether or not earlier ones were answered, so that a slow system
// can't slow its load down.
class LoadRun {
public:
  LoadRun(Kernel::Task &Home, LoadOptions Options,
          std::function<void(LoadReport)> OnDone);

  void start();

private:
  void sendDue();
  void sendOne(Common::SteadyTime DueAt);
  void takeAnswer(const std::string &Id, bool Counts, Common::SteadyTime DueAt,
                  const Http::ClientResult &Result);
  void finishIfDone();

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  LoadOptions Options;
  std::function<void(LoadReport)> OnDone;
  Http::Client Transport;
  LoadReport Report;
  Common::SteadyTime StartedAt;
  Common::SteadyTime EndsAt;
  Common::SteadyTime NextDue;
  int Open = 0;
  bool AllSent = false;
};

// Prints a report as lines of "key value".
std::string reportText(const LoadReport &Report);

} // namespace Load
