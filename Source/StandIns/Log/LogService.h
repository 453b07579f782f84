#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Http/Server.h"
#include "Kernel/Host.h"
#include "StandIns/Log/LogStore.h"

namespace StandIns {

// Faults that tests can inject.
struct LogFaults {
  // Refuses all requests to streams.
  bool Outage = false;
  // The number of next appends that are stored but not answered.
  int LoseAnswers = 0;
  // Additional delay before each answer.
  Common::Micros Delay{0};
};

// Replaces the injected faults.
struct SetFaults {
  LogFaults Faults;
};

// A stand-in for the platform's log, over HTTP:
//   POST /v1/streams/NAME/records       appends the body and answers with its
//                                       offset in X-Offset
//   GET  /v1/streams/NAME/records?from=N&wait-ms=M
//                                       reads records from offset N on, and
//                                       waits up to M ms if there are none
//   POST /standin/faults                INI: [faults] outage, lose-answers,
//                                       delay
class LogService {
public:
  using Message = std::variant<SetFaults>;

  LogService(Kernel::Context Context, std::string Address, int Port,
             Common::Duration Retention, int AppendLimit);

  void start();
  void handle(const Message &Content);
  void stop();

private:
  // A long poll that waits for new records.
  struct PendingRead {
    Http::ExchangeId Exchange = 0;
    std::string Stream;
    OwnLog::Offset From = 0;
    Kernel::TimerId Timer = 0;
  };

  void handleRequest(Http::ExchangeId Id, const Http::Request &Request);
  void append(Http::ExchangeId Id, const std::string &Stream,
              const std::string &Content);
  void read(Http::ExchangeId Id, const std::string &Stream,
            const std::string &Target);
  bool isOverLimit();
  void answerRead(Http::ExchangeId Id, const std::string &Stream,
                  OwnLog::Offset From);
  void answer(Http::ExchangeId Id, Http::Response Reply);
  void answerPendingReads(const std::string &Stream);
  Http::Response setFaults(const std::string &Body);
  void expireAll();

  Kernel::Task &Task;
  Kernel::Timers Timers{Task};
  std::string Address;
  int Port;
  LogStore Store;
  // The maximum number of appends per second; 0 is unlimited.
  int AppendLimit;
  Common::SteadyTime SecondStart;
  int AppendsInSecond = 0;
  LogFaults Faults;
  std::unique_ptr<Http::Server> Listener;
  std::vector<PendingRead> PendingReads;
};

} // namespace StandIns
