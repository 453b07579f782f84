#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "Common/ResultCode.h"
#include "Common/Time.h"
#include "Config/ObjectSet.h"
#include "Routing/Call.h"
#include "Routing/ServerView.h"

namespace Routing {

// Measurements of the calls of one request kind to a server. Kinds are measured
// separately, since long calls of a slow kind don't make a server slow.
struct KindStats {
  // Moving average of the round trip, which rises faster than it falls.
  Common::Micros SmoothedLatency{0};
  Common::SteadyTime MeasuredAt;
  int Answers = 0;
  // Moving average of the time that a call holds a slot of the server, as the
  // server-side node reports it; 0 if unknown.
  Common::Micros SlotTime{0};
  // The send time of each attempt in flight.
  std::multiset<Common::SteadyTime> InFlightSince;
};

// What a caller-side node knows about one server.
struct ServerRecord {
  int OwnInFlight = 0;
  ServerLoad ReportedLoad;
  Common::SteadyTime ReportedAt;
  int OwnInFlightAtReport = 0;
  std::unordered_map<std::string, KindStats> Kinds;
  Common::SteadyTime FirstSeen;
  int ConsecutiveFailures = 0;
  Common::SteadyTime LastFailure;
  // Outlier ejection, used by policies that eject slow servers. Until
  // EjectedUntil the server is chosen only if no other is left. It stays on
  // probation until a call that is answered after that time was fast enough.
  Common::SteadyTime EjectedUntil;
  bool OnProbation = false;

  // The expected time of the work that is left of one of the calls at the
  // server; 0 if unknown.
  Common::Micros workPerCall() const;
  // The time that a new call would wait for a slot by the last report, as far
  // as it has not passed since. Empty if the report is older than MaxAge or
  // does not tell.
  std::optional<Common::Micros> reportedWait(Common::SteadyTime Now,
                                             Common::Duration MaxAge) const;

  // Null if no call of the kind was sent to the server yet.
  const KindStats *kind(const std::string &Name) const;
};

// How an attempt ended.
struct AttemptOutcome {
  Common::SteadyTime SentAt;
  std::string Kind;
  // Null if the attempt was cancelled without an answer.
  const CallReply *Reply = nullptr;
};

// The records of all servers that are live or still have attempts in flight.
class ServerRecords {
public:
  void useServers(const ServerView &View, Common::SteadyTime Now);
  // Drops the measurements of all other kinds.
  void useKinds(const std::map<std::string, Config::RequestKind> &Current);
  void attemptSent(const std::string &Server, const std::string &Kind,
                   Common::SteadyTime Now);
  void attemptEnded(const std::string &Server, const AttemptOutcome &Outcome,
                    Common::SteadyTime Now);

  // Counts a failure of the server, while its reply is still awaited.
  void attemptSilent(const std::string &Server, Common::SteadyTime Now);

  void handleLoadReport(const std::string &Server, const ServerLoad &Load,
                        Common::SteadyTime Now);

  const ServerRecord *find(const std::string &Server) const;
  ServerRecord *find(const std::string &Server);
  std::size_t size() const { return Records.size(); }

private:
  std::unordered_map<std::string, ServerRecord> Records;
};

} // namespace Routing
