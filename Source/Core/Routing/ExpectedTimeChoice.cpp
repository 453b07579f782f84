#include "Routing/ExpectedTimeChoice.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

using Seconds = std::chrono::duration<double>;

// Time in which the weight of a reported queue halves, as queues change within
// the duration of a few calls.
constexpr Seconds QueueHalfLife{0.3};
// Time in which the weight of a reported speed halves. Speeds change more
// slowly than queues; a slow server is tried again after a few half-lives.
constexpr Seconds SpeedHalfLife{2.0};
// What a call to another data centre has to save: several times the round trip,
// since traffic between data centres costs money.
constexpr Seconds CrossDataCentreCost{0.030};
// A call stays in its data centre if the expected time is within this share of
// the latency target; the rest covers calls that take longer than expected.
constexpr double LocalShareOfTarget = 0.5;
// Of the calls without such a local server, the share that goes to another data
// centre whatever it costs, so that there are fresh reports from there.
constexpr double ProbeShare = 0.04;
// Assumed until the first report.
constexpr Seconds DefaultSlotTime{0.050};
// Extra share of the slot time at a server whose slots are all in use. It grows
// with the square of the share in use, as some servers slow down before that.
constexpr double CrowdingWeight = 0.3;
// Cost of a call that its server fails, weighted by the share of failed calls.
constexpr Seconds FailureCost{0.5};
// Cost of a server after MaxCountedFailures consecutive failures, such as those
// of an unreachable node. Fewer failures cost proportionally less, and the cost
// halves in each UnreachableHalfLife.
constexpr Seconds UnreachableCost{1.0};
constexpr Seconds UnreachableHalfLife{0.4};
constexpr int MaxCountedFailures = 5;
// Distributes the calls of caller-side nodes that have the same reports among
// equal servers.
constexpr double Jitter = 0.1;
// A call leaves its data centre if it is expected to be answered elsewhere
// within this share of the local time. The rest covers the age of the reports.
constexpr double RemoteShareOfLocal = 0.5;
// Age up to which a report from another data centre counts.
constexpr Common::Millis RemoteReportLifetime{1'000};
// Interval of the probes of another data centre for each kind.
constexpr Common::Millis ProbeInterval{1'000};
constexpr std::size_t MaxProbedKinds = 256;
constexpr double UsualPercent = 100;

double decay(Common::Duration Age, Seconds HalfLife) {
  return std::exp2(-Seconds(Age) / HalfLife);
}

// Estimates the calls at the server: those of this node are known exactly,
// those of other nodes from the last report. As the report ages, the typical
// number of pending calls replaces it.
double estimatePending(const ServerRecord &Record, double TypicalPending,
                       Common::SteadyTime Now) {
  // Without a report the server counts as idle, so that it is tried.
  if (Record.ReportedLoad.Slots == 0)
    return Record.OwnInFlight;
  const double Reported =
      Record.ReportedLoad.Queued + Record.ReportedLoad.BusySlots;
  const double FromOtherNodes =
      std::max(0.0, Reported - Record.OwnInFlightAtReport);
  const double Freshness = decay(Now - Record.ReportedAt, QueueHalfLife);
  const double TypicalFromOthers =
      std::max(0.0, TypicalPending - Record.OwnInFlight);
  return Record.OwnInFlight + FromOtherNodes * Freshness +
         TypicalFromOthers * (1 - Freshness);
}

// How long work takes at the server compared with one of usual speed. The
// report loses its weight with its age.
double slowness(const ServerRecord &Record, Common::SteadyTime Now) {
  if (Record.ReportedLoad.SlownessPercent <= 0)
    return 1;
  const double Reported = Record.ReportedLoad.SlownessPercent / UsualPercent;
  return 1 + (Reported - 1) * decay(Now - Record.ReportedAt, SpeedHalfLife);
}

bool isKnown(const ServerRecord &Record, Common::SteadyTime Now) {
  return Record.ReportedLoad.Slots > 0 &&
         Now - Record.ReportedAt <= RemoteReportLifetime;
}

Seconds failureCost(const ServerRecord &Record, Common::SteadyTime Now) {
  const double Share = Record.ReportedLoad.FailurePercent / 100.0 *
                       decay(Now - Record.ReportedAt, SpeedHalfLife);
  const int Failures = std::min(Record.ConsecutiveFailures, MaxCountedFailures);
  return FailureCost * Share +
         UnreachableCost *
             (static_cast<double>(Failures) / MaxCountedFailures *
              decay(Now - Record.LastFailure, UnreachableHalfLife));
}

} // namespace

// The median of the times that calls of the kind hold a slot, and the mean of
// the pending calls, weighted by the freshness of their reports.
ExpectedTimeChoice::TypicalLoad
ExpectedTimeChoice::typicalLoad(const ChoiceInput &Input) {
  TypicalLoad Result{DefaultSlotTime, 0};
  std::vector<Seconds> Times;
  double Pending = 0;
  double Weight = 0;
  for (const ServerEntry &Server : Input.Servers) {
    const ServerRecord *Record = Input.Records.find(Server.Server);
    if (!Record)
      continue;
    const KindStats *Stats = Record->kind(Input.Kind);
    if (Stats && Stats->SlotTime.count() > 0)
      Times.emplace_back(Stats->SlotTime);
    const double Freshness =
        decay(Input.Now - Record->ReportedAt, SpeedHalfLife);
    Pending += Freshness *
               (Record->ReportedLoad.Queued + Record->ReportedLoad.BusySlots);
    Weight += Freshness;
  }
  if (Weight > 0)
    Result.Pending = Pending / Weight;
  if (Times.empty())
    return Result;
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>((Times.size() - 1) / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  Result.SlotTime = *Middle;
  return Result;
}

// Time in a slot for a call of the kind, plus the time of the calls of all
// kinds that are ahead of it.
ExpectedTimeChoice::Seconds
ExpectedTimeChoice::expectedTime(const ChoiceInput &Input,
                                 const ServerEntry &Server,
                                 const TypicalLoad &Typical) {
  Seconds Cost = Server.DataCentre == Input.LocalDataCentre
                     ? Seconds(0)
                     : CrossDataCentreCost;
  const ServerRecord *Record = Input.Records.find(Server.Server);
  if (!Record)
    return Cost + Typical.SlotTime;
  Seconds SlotTime = Typical.SlotTime;
  const KindStats *Stats = Record->kind(Input.Kind);
  if (Stats && Stats->SlotTime.count() > 0)
    SlotTime += (Seconds(Stats->SlotTime) - Typical.SlotTime) *
                decay(Input.Now - Stats->MeasuredAt, SpeedHalfLife);
  if (Input.ExpectedCost.count() > 0)
    SlotTime = Seconds(Input.ExpectedCost) * slowness(*Record, Input.Now);
  const double Slots = std::max(Server.Slots, 1);
  const double Pending = estimatePending(*Record, Typical.Pending, Input.Now);
  const double CallsAhead = std::max(0.0, Pending - Slots + 1);
  const double Crowding = std::min(Pending / Slots, 1.0);
  Seconds TimePerCallAhead = Record->ReportedLoad.SlotTime.count() > 0
                                 ? Seconds(Record->ReportedLoad.SlotTime)
                                 : Typical.SlotTime;
  if (Input.HasUnevenWork && Record->workPerCall().count() > 0)
    TimePerCallAhead = Record->workPerCall();
  std::uniform_real_distribution<double> JitterFactor(1, 1 + Jitter);
  return Cost + failureCost(*Record, Input.Now) +
         JitterFactor(Random) *
             (TimePerCallAhead * (CallsAhead / Slots) +
              SlotTime * (1 + CrowdingWeight * Crowding * Crowding));
}

template <class Filter>
std::optional<ExpectedTimeChoice::Candidate>
ExpectedTimeChoice::bestOf(const ChoiceInput &Input, const TypicalLoad &Typical,
                           Filter IsCandidate) {
  std::optional<Candidate> Best;
  for (std::size_t Index = 0; Index < Input.Servers.size(); ++Index) {
    const ServerEntry &Server = Input.Servers[Index];
    if (!IsCandidate(Server) || !Input.mayChoose(Server))
      continue;
    const Seconds Cost = expectedTime(Input, Server, Typical);
    if (!Best || Cost < Best->Cost)
      Best = Candidate{Index, Cost};
  }
  return Best;
}

std::optional<ExpectedTimeChoice::Candidate>
ExpectedTimeChoice::best(const ChoiceInput &Input, bool IsLocal,
                         const TypicalLoad &Typical) {
  return bestOf(Input, Typical, [&](const ServerEntry &Server) {
    return (Server.DataCentre == Input.LocalDataCentre) == IsLocal;
  });
}

std::optional<ExpectedTimeChoice::Candidate>
ExpectedTimeChoice::bestKnown(const ChoiceInput &Input,
                              const TypicalLoad &Typical) {
  return bestOf(Input, Typical, [&](const ServerEntry &Server) {
    const ServerRecord *Record = Input.Records.find(Server.Server);
    return Server.DataCentre != Input.LocalDataCentre && Record &&
           isKnown(*Record, Input.Now);
  });
}

bool ExpectedTimeChoice::takeProbe(const ChoiceInput &Input) {
  if (LastProbe.size() >= MaxProbedKinds && !LastProbe.contains(Input.Kind))
    LastProbe.clear();
  const auto [Last, IsNew] = LastProbe.try_emplace(Input.Kind, Input.Now);
  if (!IsNew && Input.Now - Last->second < ProbeInterval)
    return false;
  Last->second = Input.Now;
  return true;
}

std::optional<std::size_t>
ExpectedTimeChoice::chooseByCost(const ChoiceInput &Input,
                                 const TypicalLoad &Typical) {
  const auto LocalBest = best(Input, true, Typical);
  if (!LocalBest) {
    const auto RemoteBest = best(Input, false, Typical);
    return RemoteBest ? std::optional(RemoteBest->Index) : std::nullopt;
  }
  const Seconds Left(Input.TargetTimeLeft);
  // Once the target is missed, a call of less value is not worth the bytes.
  if (Left <= Seconds(0) || LocalBest->Cost < LocalShareOfTarget * Left)
    return LocalBest->Index;
  const ServerRecord *Record =
      Input.Records.find(Input.Servers[LocalBest->Index].Server);
  // The local servers may be gone although members still list them.
  const bool LocalFails = Record && Record->ConsecutiveFailures > 0;
  const bool MayGo = LocalFails || takeProbe(Input);
  const auto RemoteBest =
      MayGo ? best(Input, false, Typical) : bestKnown(Input, Typical);
  const double Share = MayGo ? 1 : RemoteShareOfLocal;
  return RemoteBest && RemoteBest->Cost < Share * LocalBest->Cost
             ? RemoteBest->Index
             : LocalBest->Index;
}

std::optional<std::size_t>
ExpectedTimeChoice::choose(const ChoiceInput &Input) {
  const TypicalLoad Typical = typicalLoad(Input);
  if (Input.HasUnevenWork)
    return chooseByCost(Input, Typical);
  const auto LocalBest = best(Input, true, Typical);
  if (LocalBest &&
      LocalBest->Cost < LocalShareOfTarget * Seconds(Input.TargetTimeLeft))
    return LocalBest->Index;
  const auto RemoteBest = best(Input, false, Typical);
  // Other data centres report their load only if calls are sent there.
  if (LocalBest && RemoteBest &&
      std::uniform_real_distribution<double>(0, 1)(Random) < ProbeShare)
    return RemoteBest->Index;
  if (!LocalBest || !RemoteBest)
    return LocalBest    ? std::optional(LocalBest->Index)
           : RemoteBest ? std::optional(RemoteBest->Index)
                        : std::nullopt;
  return RemoteBest->Cost < LocalBest->Cost ? RemoteBest->Index
                                            : LocalBest->Index;
}

} // namespace Routing
