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

// The options of a load run.
struct LoadOptions {
  // Addresses, "IP:port", of nodes or backend servers, used in rotation.
  std::vector<std::string> Targets;
  // Source addresses, used in rotation. Nodes identify callers by address.
  std::vector<std::string> Sources;
  std::string Method = "GET";
  std::vector<CallClass> Classes;
  double CallsPerSecond = 100;
  std::vector<Swing> Swings;
  std::uint64_t Seed = 1;
  // The number of callers that each send the next call as soon as they have an
  // answer. Above 0, CallsPerSecond is ignored.
  int ClosedCallers = 0;
  Common::Micros Length{1'000'000};
  Common::Micros CallTimeout{5'000'000};
  // Whether each call carries an Idempotency-Key derived from its id.
  bool WithKeys = false;
  // Prefix of each call id, so that different runs use different ids.
  std::string IdPrefix = "c";
  // The number of first calls that are left out of the latencies.
  int WarmUpCalls = 0;
};

// Sends calls on a task and reports when all of them have finished. Calls are
// sent at fixed times whether or not earlier ones were answered, so that a slow
// system does not reduce its own load.
class LoadRun {
public:
  LoadRun(Kernel::Task &Task, LoadOptions Options,
          std::function<void(LoadReport)> OnDone);

  void start();

private:
  struct SentCall {
    std::string Id;
    std::size_t ClassIndex = 0;
    Common::SteadyTime DueAt;
    // False for calls of the warm-up, which are left out of the latencies.
    bool IsMeasured = true;
  };

  void sendDue();
  void sendCall(Common::SteadyTime DueAt);
  void handleAnswer(const SentCall &Call, const Http::ClientResult &Result);
  void recordServed(const SentCall &Call, const std::string &Server,
                    Common::SteadyTime Now);
  void finishIfDone();

  Kernel::Task &Task;
  Kernel::Timers Timers{Task};
  LoadOptions Options;
  LoadPlan Plan;
  std::function<void(LoadReport)> OnDone;
  Http::Client Transport;
  LoadReport Report;
  Common::SteadyTime StartedAt;
  Common::SteadyTime EndsAt;
  Common::SteadyTime NextDue;
  int OpenCalls = 0;
  bool AllSent = false;
};

} // namespace Load
