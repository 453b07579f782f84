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

// The identity and capacity of a backend server.
struct BackendOptions {
  std::string Name;
  std::string Service;
  std::string Address = "127.0.0.1";
  int Port = 0;
  int Slots = 6;
  // "IP:port" of the admin socket of the node on the same VM. If empty, the
  // server does not announce itself.
  std::string NodeAdmin;
  // Mean work time of a request. Each request takes 50% to 150% of it.
  Common::Micros Work{0};
};

// Faults and slowness that tests and experiments can inject.
struct BackendFaults {
  // The factor by which work times are multiplied.
  int SlowFactor = 1;
  // Refuses all requests without running them.
  bool Shed = false;
  // Starts calls and never answers them. Their slots are freed when the fault
  // is switched off.
  bool Hang = false;
  // The number of coming calls that are slow, as after a cold start, and the
  // factor by which their work times are multiplied.
  int ColdCalls = 0;
  int ColdFactor = 1;
  // Stops the announcements to the node, like a server that leaves or hangs.
  bool Silent = false;
};

// Replaces the injected faults.
struct SetBackendFaults {
  BackendFaults Faults;
};

// A stand-in for a backend server, over HTTP. Its answers contain the id of the
// request, and its ledger counts how often each request was executed:
//   any request with ?id=ID      works, then answers "id=ID server=NAME"
//   GET  /standin/ledger         lines of "ID runs"
//   POST /standin/faults         INI: [faults] slow-factor, shed, hang,
//                                cold-calls, cold-factor, silent
// A request can set its own work time with ?work-us=N, and the least size of
// its answer with ?answer-bytes=N. A request whose x-deadline-ms passes while
// it is queued here is shed.
class BackendServer {
public:
  using Message = std::variant<SetBackendFaults>;

  BackendServer(Kernel::Context Context, BackendOptions Options);

  void start();
  void handle(const Message &Content);
  void stop();

private:
  // What a request asks its answer to be.
  struct Answer {
    std::string CallerId;
    std::size_t Bytes = 0;
  };

  void handleRequest(Http::ExchangeId Id, const Http::Request &Request);
  void startWork(Http::ExchangeId Id, const Http::Request &Request);
  void finishWork(Http::ExchangeId Id, const Answer &Reply);
  void startNextQueued();
  void releaseHungCalls();
  void shed(Http::ExchangeId Id);
  void announce();
  Common::Micros workTime(const std::string &Target);
  Http::Response setFaults(const std::string &Body);
  std::string ledgerText() const;

  // A request that waits for a free slot.
  struct QueuedRequest {
    Http::ExchangeId Exchange = 0;
    Http::Request Request;
    std::optional<Common::SteadyTime> Deadline;
  };

  Kernel::Task &Task;
  Kernel::Timers Timers{Task};
  BackendOptions Options;
  BackendFaults Faults;
  std::mt19937_64 Random;
  std::unique_ptr<Http::Server> Listener;
  std::unique_ptr<Http::Client> NodeClient;
  std::map<std::string, int> Ledger;
  std::deque<QueuedRequest> Queue;
  int BusySlots = 0;
  int HungCalls = 0;
};

} // namespace StandIns
