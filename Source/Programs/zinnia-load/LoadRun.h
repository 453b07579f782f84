#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Http/Client.h"
#include "Kernel/Task.h"
#include "Programs/zinnia-load/LoadPlan.h"
#include "Programs/zinnia-load/LoadReport.h"

namespace Load {

struct LoadOptions {
  // "IP:port" of nodes or servers, used in turn.
  std::vector<std::string> Targets;
  // Own addresses, used in turn; nodes tell callers apart by address.
  std::vector<std::string> Sources;
  std::string Method = "GET";
  std::vector<CallClass> Classes;
  double CallsPerSecond = 100;
  std::vector<Swing> Swings;
  std::uint64_t Seed = 1;
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

// Sends calls on a task and reports when all have ended. Calls are due at
// fixed times whether or not earlier ones were answered, so that a slow system
// can't slow its load down.
class LoadRun {
public:
  LoadRun(Kernel::Task &Home, LoadOptions Options,
          std::function<void(LoadReport)> OnDone);

  void start();

private:
  struct SentCall {
    std::string Id;
    std::size_t Class = 0;
    Common::SteadyTime DueAt;
    // Calls of the warm-up have no part in the latencies.
    bool Counts = true;
  };

  void sendDue();
  void sendOne(Common::SteadyTime DueAt);
  void takeAnswer(const SentCall &Call, const Http::ClientResult &Result);
  void countServed(const SentCall &Call, const std::string &Server,
                   Common::SteadyTime Now);
  void finishIfDone();

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  LoadOptions Options;
  LoadPlan Plan;
  std::function<void(LoadReport)> OnDone;
  Http::Client Transport;
  LoadReport Report;
  Common::SteadyTime StartedAt;
  Common::SteadyTime EndsAt;
  Common::SteadyTime NextDue;
  int Open = 0;
  bool AllSent = false;
};

} // namespace Load
