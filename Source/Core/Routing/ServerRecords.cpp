#include "Routing/ServerRecords.h"

#include <algorithm>

namespace Routing {

namespace {

// Weight of a new sample in the moving average of the latency, by whether it is
// above or below the average.
constexpr double RisingWeight = 0.3;
constexpr double FallingWeight = 0.1;
// A cancelled attempt would have taken longer than the time until then, so that
// time is multiplied by this.
constexpr int CancelledLatencyFactor = 2;

void updateLatency(KindStats &Stats, Common::Micros Latency,
                   Common::SteadyTime Now) {
  const double Weight =
      Latency > Stats.SmoothedLatency ? RisingWeight : FallingWeight;
  if (Stats.Answers == 0)
    Stats.SmoothedLatency = Latency;
  else
    Stats.SmoothedLatency += std::chrono::duration_cast<Common::Micros>(
        Weight * (Latency - Stats.SmoothedLatency));
  Stats.MeasuredAt = Now;
  ++Stats.Answers;
}

void updateSlotTime(KindStats &Stats, Common::Micros ServiceTime) {
  constexpr int SmoothingDivisor = 8;
  Stats.SlotTime =
      Stats.SlotTime.count() == 0
          ? ServiceTime
          : Stats.SlotTime + (ServiceTime - Stats.SlotTime) / SmoothingDivisor;
}

// Failures are not measured as latency, as a fast error must not make a server
// look fast. A full queue is load and not a failure: ejecting servers for it
// would add to the load of the others.
bool isFailure(const CallReply &Reply) {
  using Common::ResultCode;
  if (Reply.Result == ResultCode::Ok)
    return Reply.HttpStatus >= MinServerErrorStatus;
  return Reply.Result == ResultCode::ServerShed ||
         Reply.Result == ResultCode::PeerUnreachable ||
         Reply.Result == ResultCode::OutcomeUnknown ||
         Reply.Result == ResultCode::ConnectionLost;
}

void updateLoad(ServerRecord &Record, const ServerLoad &Load,
                Common::SteadyTime Now) {
  if (Load.Slots <= 0)
    return;
  Record.ReportedLoad = Load;
  Record.ReportedAt = Now;
  Record.OwnInFlightAtReport = Record.OwnInFlight;
}

void updateFromReply(ServerRecord &Record, KindStats &Stats,
                     const CallReply &Reply, Common::Micros Latency,
                     Common::SteadyTime Now) {
  updateLoad(Record, Reply.Load, Now);
  if (isFailure(Reply)) {
    ++Record.ConsecutiveFailures;
    Record.LastFailure = Now;
  } else if (Reply.Result == Common::ResultCode::Ok) {
    Record.ConsecutiveFailures = 0;
    updateLatency(Stats, Latency, Now);
    updateSlotTime(Stats, Reply.ServiceTime);
  }
}

} // namespace

Common::Micros ServerRecord::workPerCall() const {
  const int Pending = ReportedLoad.Queued + ReportedLoad.BusySlots;
  return ReportedLoad.Backlog * std::max(ReportedLoad.Slots, 1) /
         std::max(Pending, 1);
}

std::optional<Common::Micros>
ServerRecord::reportedWait(Common::SteadyTime Now,
                           Common::Duration MaxAge) const {
  const ServerLoad &Load = ReportedLoad;
  const Common::Duration Age = Now - ReportedAt;
  if (Load.Slots <= 0 || Load.Backlog.count() <= 0 || Age > MaxAge)
    return std::nullopt;
  const int CallsAhead = Load.Queued + Load.BusySlots - Load.Slots + 1;
  const Common::Micros Wait =
      workPerCall() * std::max(CallsAhead, 0) / Load.Slots;
  return std::max(Common::Micros(0),
                  Wait - std::chrono::duration_cast<Common::Micros>(Age));
}

const KindStats *ServerRecord::kind(const std::string &Name) const {
  const auto Found = Kinds.find(Name);
  return Found == Kinds.end() ? nullptr : &Found->second;
}

void ServerRecords::useServers(const ServerView &View, Common::SteadyTime Now) {
  std::set<std::string> Live;
  for (const auto &[Service, Servers] : View.ByService)
    for (const ServerEntry &Entry : Servers) {
      Live.insert(Entry.Server);
      const auto [Record, IsNew] = Records.try_emplace(Entry.Server);
      if (IsNew)
        Record->second.FirstSeen = Now;
    }
  std::erase_if(Records, [&](const auto &Item) {
    return Item.second.OwnInFlight == 0 && !Live.contains(Item.first);
  });
}

void ServerRecords::useKinds(
    const std::map<std::string, Config::RequestKind> &Current) {
  for (auto &[Server, Record] : Records)
    std::erase_if(Record.Kinds, [&](const auto &Item) {
      return !Current.contains(Item.first);
    });
}

void ServerRecords::attemptSent(const std::string &Server,
                                const std::string &Kind,
                                Common::SteadyTime Now) {
  ServerRecord &Record = Records[Server];
  ++Record.OwnInFlight;
  Record.Kinds[Kind].InFlightSince.insert(Now);
}

void ServerRecords::attemptEnded(const std::string &Server,
                                 const AttemptOutcome &Outcome,
                                 Common::SteadyTime Now) {
  const auto Found = Records.find(Server);
  if (Found == Records.end())
    return;
  ServerRecord &Record = Found->second;
  KindStats &Stats = Record.Kinds[Outcome.Kind];
  --Record.OwnInFlight;
  const auto Sent = Stats.InFlightSince.find(Outcome.SentAt);
  if (Sent != Stats.InFlightSince.end())
    Stats.InFlightSince.erase(Sent);
  const auto Latency =
      std::chrono::duration_cast<Common::Micros>(Now - Outcome.SentAt);
  if (Outcome.Reply)
    updateFromReply(Record, Stats, *Outcome.Reply, Latency, Now);
  else if (Latency > Stats.SmoothedLatency)
    updateLatency(Stats, CancelledLatencyFactor * Latency, Now);
}

void ServerRecords::attemptSilent(const std::string &Server,
                                  Common::SteadyTime Now) {
  const auto Found = Records.find(Server);
  if (Found == Records.end())
    return;
  ++Found->second.ConsecutiveFailures;
  Found->second.LastFailure = Now;
}

void ServerRecords::handleLoadReport(const std::string &Server,
                                     const ServerLoad &Load,
                                     Common::SteadyTime Now) {
  const auto Found = Records.find(Server);
  if (Found != Records.end())
    updateLoad(Found->second, Load, Now);
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
