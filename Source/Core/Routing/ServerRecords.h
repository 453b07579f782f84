#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "Common/ResultCode.h"
#include "Common/Time.h"
#include "Config/ObjectSet.h"
#include "Routing/Call.h"
#include "Routing/ServerView.h"

namespace Routing {

// What calls of one request kind have shown about a server. Kinds are apart,
// since a server is not slow for working long on a kind that takes long.
struct KindLatency {
  // Round trip as measured here; it rises faster than it falls.
  Common::Micros SmoothedLatency{0};
  Common::SteadyTime MeasuredAt;
  int Answers = 0;
  // How long its calls hold a slot there, as the far node tells; 0 is unknown.
  Common::Micros SlotTime{0};
  // When each attempt in flight was sent.
  std::multiset<Common::SteadyTime> InFlight;
};

// What a near node has learnt about one server by calling it.
struct ServerRecord {
  int OwnInFlight = 0;
  ServerLoad Reported;
  Common::SteadyTime ReportedAt;
  int OwnInFlightAtReport = 0;
  std::unordered_map<std::string, KindLatency> Kinds;
  Common::SteadyTime FirstSeen;
  int ConsecutiveFailures = 0;
  Common::SteadyTime LastFailure;
  // Kept by policies that set slow servers aside.
  Common::SteadyTime AsideUntil;
  bool OnProbation = false;

  // Null when no call of the kind was sent to the server yet.
  const KindLatency *kind(const std::string &Name) const;
};

// How an attempt ended, as far as the server's record goes.
struct AttemptOutcome {
  Common::SteadyTime SentAt;
  std::string Kind;
  // Null when the attempt was given up without an answer.
  const CallReply *Reply = nullptr;
};

// The records of all servers that are live or still have attempts in flight.
class ServerRecords {
public:
  void useServers(const ServerView &View, Common::SteadyTime Now);
  // Forgets all other kinds.
  void useKinds(const std::map<std::string, Config::RequestKind> &Known);
  void attemptSent(const std::string &Server, const std::string &Kind,
                   Common::SteadyTime Now);
  void attemptEnded(const std::string &Server, const AttemptOutcome &Outcome,
                    Common::SteadyTime Now);

  void loadHeard(const std::string &Server, const ServerLoad &Load,
                 Common::SteadyTime Now);

  const ServerRecord *find(const std::string &Server) const;
  ServerRecord *find(const std::string &Server);
  std::size_t size() const { return Records.size(); }

private:
  std::unordered_map<std::string, ServerRecord> Records;
};

} // namespace Routing
