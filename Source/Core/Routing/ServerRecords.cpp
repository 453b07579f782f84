#include "Routing/ServerRecords.h"

#include <algorithm>

namespace Routing {

namespace {

constexpr double RisingWeight = 0.3;
constexpr double FallingWeight = 0.1;
// An attempt that was given up would have taken longer than it was waited for.
constexpr int GivenUpFactor = 2;

void addLatency(KindLatency &Shown, Common::Micros Latency,
                Common::SteadyTime Now) {
  const double Weight =
      Latency > Shown.SmoothedLatency ? RisingWeight : FallingWeight;
  if (Shown.Answers == 0)
    Shown.SmoothedLatency = Latency;
  else
    Shown.SmoothedLatency += std::chrono::duration_cast<Common::Micros>(
        Weight * (Latency - Shown.SmoothedLatency));
  Shown.MeasuredAt = Now;
  ++Shown.Answers;
}

void addSlotTime(KindLatency &Shown, Common::Micros Took) {
  constexpr int Memory = 8;
  Shown.SlotTime = Shown.SlotTime.count() == 0
                       ? Took
                       : Shown.SlotTime + (Took - Shown.SlotTime) / Memory;
}

// A fast error must not make a server look fast. A full queue is load and no
// failure: setting servers aside for it would add to the load of the others.
bool isFailure(const CallReply &Reply) {
  using Common::ResultCode;
  if (Reply.Result == ResultCode::Ok)
    return Reply.HttpStatus >= FirstServerError;
  return Reply.Result == ResultCode::ServerShed ||
         Reply.Result == ResultCode::PeerUnreachable ||
         Reply.Result == ResultCode::OutcomeUnknown ||
         Reply.Result == ResultCode::ConnectionLost;
}

void takeLoad(ServerRecord &Record, const ServerLoad &Load,
              Common::SteadyTime Now) {
  if (Load.Slots <= 0)
    return;
  Record.Reported = Load;
  Record.ReportedAt = Now;
  Record.OwnInFlightAtReport = Record.OwnInFlight;
}

void takeReply(ServerRecord &Record, KindLatency &Shown, const CallReply &Reply,
               Common::Micros Latency, Common::SteadyTime Now) {
  takeLoad(Record, Reply.Load, Now);
  if (isFailure(Reply)) {
    ++Record.ConsecutiveFailures;
    Record.LastFailure = Now;
  } else if (Reply.Result == Common::ResultCode::Ok) {
    Record.ConsecutiveFailures = 0;
    addLatency(Shown, Latency, Now);
    addSlotTime(Shown, Reply.ServiceTime);
  }
}

} // namespace

const KindLatency *ServerRecord::kind(const std::string &Name) const {
  const auto Found = Kinds.find(Name);
  return Found == Kinds.end() ? nullptr : &Found->second;
}

void ServerRecords::useServers(const ServerView &View, Common::SteadyTime Now) {
  std::set<std::string> Live;
  for (const auto &[Service, Servers] : View.ByService)
    for (const ServerEntry &Each : Servers) {
      Live.insert(Each.Server);
      const auto [At, IsNew] = Records.try_emplace(Each.Server);
      if (IsNew)
        At->second.FirstSeen = Now;
    }
  std::erase_if(Records, [&](const auto &Each) {
    return Each.second.OwnInFlight == 0 && !Live.contains(Each.first);
  });
}

void ServerRecords::useKinds(
    const std::map<std::string, Config::RequestKind> &Known) {
  for (auto &[Server, Record] : Records)
    std::erase_if(Record.Kinds, [&](const auto &Each) {
      return !Known.contains(Each.first);
    });
}

void ServerRecords::attemptSent(const std::string &Server,
                                const std::string &Kind,
                                Common::SteadyTime Now) {
  ServerRecord &Record = Records[Server];
  ++Record.OwnInFlight;
  Record.Kinds[Kind].InFlight.insert(Now);
}

void ServerRecords::attemptEnded(const std::string &Server,
                                 const AttemptOutcome &Outcome,
                                 Common::SteadyTime Now) {
  const auto Found = Records.find(Server);
  if (Found == Records.end())
    return;
  ServerRecord &Record = Found->second;
  KindLatency &Shown = Record.Kinds[Outcome.Kind];
  --Record.OwnInFlight;
  const auto Sent = Shown.InFlight.find(Outcome.SentAt);
  if (Sent != Shown.InFlight.end())
    Shown.InFlight.erase(Sent);
  const auto Latency =
      std::chrono::duration_cast<Common::Micros>(Now - Outcome.SentAt);
  if (Outcome.Reply)
    takeReply(Record, Shown, *Outcome.Reply, Latency, Now);
  else if (Latency > Shown.SmoothedLatency)
    addLatency(Shown, GivenUpFactor * Latency, Now);
}

void ServerRecords::loadHeard(const std::string &Server, const ServerLoad &Load,
                              Common::SteadyTime Now) {
  const auto Found = Records.find(Server);
  if (Found != Records.end())
    takeLoad(Found->second, Load, Now);
}

const ServerRecord *ServerRecords::find(const std::string &Server) const {
  const auto Found = Records.find(Server);
  return Found == Records.end() ? nullptr : &Found->second;
}

ServerRecord *ServerRecords::find(const std::string &Server) {
  const auto Found = Records.find(Server);
  return Found == Records.end() ? nullptr : &Found->second;
}

} // namespace Routing
