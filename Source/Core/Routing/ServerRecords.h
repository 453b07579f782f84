#pragma once

#include <array>
#include <set>
#include <string>
#include <unordered_map>

#include "Common/ResultCode.h"
#include "Common/Time.h"
#include "Routing/Call.h"
#include "Routing/ServerView.h"

namespace Routing {

// What calls of one lane have shown about a server.
struct LaneRecord {
  // Round trip as measured here; it rises faster than it falls.
  Common::Micros SmoothedLatency{0};
  Common::SteadyTime MeasuredAt;
  int Answers = 0;
  // When each attempt in flight was sent.
  std::multiset<Common::SteadyTime> InFlight;
};

// What a near node has learnt about one server by calling it.
struct ServerRecord {
  int OwnInFlight = 0;
  ServerLoad Reported;
  Common::SteadyTime ReportedAt;
  int OwnInFlightAtReport = 0;
  std::array<LaneRecord, 2> Lanes;
  Common::SteadyTime FirstSeen;
  int ConsecutiveFailures = 0;
  Common::SteadyTime LastFailure;
  // Kept by policies that set slow servers aside.
  Common::SteadyTime AsideUntil;
  bool OnProbation = false;

  const LaneRecord &lane(bool LongLane) const { return Lanes[LongLane]; }
  LaneRecord &lane(bool LongLane) { return Lanes[LongLane]; }
};

// How an attempt ended, as far as the server's record goes.
struct AttemptOutcome {
  Common::SteadyTime SentAt;
  bool LongLane = false;
  // Null when the attempt was given up without an answer.
  const CallReply *Reply = nullptr;
};

// The records of all servers that are live or still have attempts in flight.
class ServerRecords {
public:
  void useServers(const ServerView &View, Common::SteadyTime Now);
  void attemptSent(const std::string &Server, bool LongLane,
                   Common::SteadyTime Now);
  void attemptEnded(const std::string &Server, const AttemptOutcome &Outcome,
                    Common::SteadyTime Now);

  const ServerRecord *find(const std::string &Server) const;
  ServerRecord *find(const std::string &Server);
  std::size_t size() const { return Records.size(); }

private:
  std::unordered_map<std::string, ServerRecord> Records;
};

} // namespace Routing
