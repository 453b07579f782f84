#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Http/Server.h"
#include "Kernel/Host.h"
#include "StandIns/Log/LogStore.h"

namespace StandIns {

// Faults that tests and the demo switch on.
struct LogFaults {
  // Refuses everything.
  bool Outage = false;
  // How many appends land without their answer getting through.
  int LoseAnswers = 0;
  // Extra time before each answer.
  Common::Micros Delay{0};
};

struct SetFaults {
  LogFaults Wanted;
};

// The platform's log over HTTP:
//   POST /v1/streams/NAME/records       appends the body; X-Offset tells where
//   GET  /v1/streams/NAME/records?from=N&wait-ms=M
//   POST /standin/faults                INI: [faults] outage, lose-answers,
//                                       delay
class LogService {
public:
  using Message = std::variant<SetFaults>;

  LogService(Kernel::Context Around, std::string Address, int Port,
             Common::Duration Retention, int AppendLimit);

  void start();
  void handle(const Message &Content);
  void stop();

private:
  struct WaitingRead {
    Http::ExchangeId Exchange = 0;
    std::string Stream;
    OwnLog::Offset From = 0;
    Kernel::TimerId Timer = 0;
  };

  void takeRequest(Http::ExchangeId Id, const Http::Request &Asked);
  void append(Http::ExchangeId Id, const std::string &Stream,
              const std::string &Content);
  void read(Http::ExchangeId Id, const std::string &Stream,
            const std::string &Target);
  bool isOverLimit();
  void answerRead(Http::ExchangeId Id, const std::string &Stream,
                  OwnLog::Offset From);
  void answer(Http::ExchangeId Id, Http::Response Reply);
  void wakeReaders(const std::string &Stream);
  Http::Response setFaults(const std::string &Body);
  void expireAll();

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  std::string Address;
  int Port;
  LogStore Store;
  // Appends a second, 0 for any number.
  int AppendLimit;
  Common::SteadyTime SecondBegan;
  int AppendsInSecond = 0;
  LogFaults Faults;
  std::unique_ptr<Http::Server> Listener;
  std::vector<WaitingRead> Waiting;
};

} // namespace StandIns
