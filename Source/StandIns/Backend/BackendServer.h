#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>

#include "Http/Client.h"
#include "Http/Server.h"
#include "Kernel/Host.h"

namespace StandIns {

struct BackendOptions {
  std::string Name;
  std::string Service;
  std::string Address = "127.0.0.1";
  int Port = 0;
  int Slots = 6;
  // "IP:port" of the admin socket of the node beside it; may be empty.
  std::string NodeAdmin;
  // Mean time of work for a request; it varies around it.
  Common::Micros Work{0};
};

// Faults and slowness that tests and experiments switch on.
struct BackendFaults {
  // Work takes this many times as long.
  int SlowFactor = 1;
  bool Shed = false;
  // Begins calls and never answers them. Their slots come back when the fault
  // is switched off.
  bool Hang = false;
  // The next calls that are slow as after a cold start, and how slow.
  int ColdCalls = 0;
  int ColdFactor = 1;
  // Stops announcing itself, as a server does that leaves or hangs.
  bool Silent = false;
};

struct SetBackendFaults {
  BackendFaults Wanted;
};

// A backend server over HTTP. Its answers name the request they belong to, and
// its ledger tells how often each request ran:
//   any request with ?id=ID      works, then answers "id=ID server=NAME"
//   GET  /standin/ledger         lines of "ID runs"
//   POST /standin/faults         INI: [faults] slow-factor, shed, hang,
//                                cold-calls, cold-factor, silent
// A request may ask for its own work time by ?work-us=N. One that waits here
// past its x-deadline-ms is shed.
class BackendServer {
public:
  using Message = std::variant<SetBackendFaults>;

  BackendServer(Kernel::Context Around, BackendOptions Options);

  void start();
  void handle(const Message &Content);
  void stop();

private:
  void takeRequest(Http::ExchangeId Id, const Http::Request &Asked);
  void begin(Http::ExchangeId Id, const Http::Request &Asked);
  void finish(Http::ExchangeId Id, const std::string &CallerId);
  void beginNext();
  void dropHung();
  void shed(Http::ExchangeId Id);
  void announce();
  Common::Micros workTime(const std::string &Target);
  Http::Response setFaults(const std::string &Body);
  std::string ledgerText() const;

  struct WaitingRequest {
    Http::ExchangeId Exchange = 0;
    Http::Request Asked;
    std::optional<Common::SteadyTime> Deadline;
  };

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  BackendOptions Options;
  BackendFaults Faults;
  std::mt19937_64 Random;
  std::unique_ptr<Http::Server> Listener;
  std::unique_ptr<Http::Client> ToNode;
  std::map<std::string, int> Ledger;
  std::deque<WaitingRequest> Waiting;
  int Busy = 0;
  int Hung = 0;
};

} // namespace StandIns
