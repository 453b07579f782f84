#include "Routing/AdaptiveChoice.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

using Seconds = std::chrono::duration<double>;

// Assumed round trip to another data centre until latencies there are measured.
constexpr Common::Micros DefaultRemoteRoundTrip{8'000};
// The weight of a load report falls linearly to 0 in this time.
constexpr Common::Millis ReportLifetime{1'000};
// Time in which the difference between a latency that is not measured again and
// the median of the other servers halves.
constexpr Common::Millis LatencyHalfLife{500};
// A new server gets its full share of calls after this time.
constexpr Common::Millis SlowStartTime{10'000};
constexpr double MinSlowStartShare = 0.1;
constexpr double StragglerFactor = 3;
// Smaller differences from the median are noise, however fast the servers are.
constexpr Common::Micros MinStragglerExcess{2'000};
constexpr int FailureLimit = 3;
constexpr Common::Millis EjectionTime{500};
// At most one of this many servers of a pool is ejected.
constexpr std::size_t ServersPerEjection = 3;

double ageWeight(Common::Duration Age, Common::Duration HalfLife) {
  return std::exp2(-Seconds(Age) / Seconds(HalfLife));
}

// Estimates the latency of the call's kind from answers and from the age of the
// oldest attempt in flight, which shows a slow server before its first slow
// answer.
Common::Micros estimateLatency(const ServerRecord *Record,
                               const ChoiceInput &Input,
                               Common::Micros PeerLatency) {
  if (!Record)
    return PeerLatency;
  const KindStats *Stats = Record->kind(Input.Kind);
  if (!Stats)
    return PeerLatency;
  Common::Micros Latency = PeerLatency;
  if (Stats->Answers > 0)
    Latency += std::chrono::duration_cast<Common::Micros>(
        (Stats->SmoothedLatency - PeerLatency) *
        ageWeight(Input.Now - Stats->MeasuredAt, LatencyHalfLife));
  if (Stats->InFlightSince.empty())
    return Latency;
  const auto Waited = std::chrono::duration_cast<Common::Micros>(
      Input.Now - *Stats->InFlightSince.begin());
  return std::max(Latency, Waited);
}

// Estimates the calls at the server: those of this node are known exactly,
// those of other nodes from the last report.
double estimatePending(const ServerRecord *Record, Common::SteadyTime Now) {
  if (!Record)
    return 0;
  const double Reported =
      Record->ReportedLoad.Queued + Record->ReportedLoad.BusySlots;
  const double FromOtherNodes =
      std::max(0.0, Reported - Record->OwnInFlightAtReport);
  const double Freshness = std::max(0.0, 1 - Seconds(Now - Record->ReportedAt) /
                                                 Seconds(ReportLifetime));
  return Record->OwnInFlight + FromOtherNodes * Freshness;
}

double load(const ChoiceInput &Input, std::size_t Index) {
  const ServerEntry &Server = Input.Servers[Index];
  return estimatePending(Input.Records.find(Server.Server), Input.Now) /
         std::max(Server.Slots, 1);
}

double score(const ChoiceInput &Input, std::size_t Index,
             Common::Micros PeerLatency) {
  const ServerRecord *Record = Input.Records.find(Input.Servers[Index].Server);
  return Seconds(estimateLatency(Record, Input, PeerLatency)).count() *
         (1 + load(Input, Index));
}

// Time until the answer: one latency, and one more for each round of calls that
// has to finish before a slot is free.
Seconds expectedTime(const ChoiceInput &Input, std::size_t Index,
                     Common::Micros PeerLatency) {
  const ServerRecord *Record = Input.Records.find(Input.Servers[Index].Server);
  const double Rounds = std::max(0.0, load(Input, Index) - 1);
  return Seconds(estimateLatency(Record, Input, PeerLatency)) * (1 + Rounds);
}

bool isFailing(const ServerRecord &Record) {
  return Record.ConsecutiveFailures >= FailureLimit;
}

bool isSlow(const ServerRecord &Record, const ChoiceInput &Input,
            Common::Micros PeerLatency) {
  const Common::Micros Latency = estimateLatency(&Record, Input, PeerLatency);
  return Latency > StragglerFactor * PeerLatency &&
         Latency > PeerLatency + MinStragglerExcess;
}

// Whether a call that was answered after the ejection has succeeded.
bool hasPassedProbation(const ServerRecord &Record, const ChoiceInput &Input) {
  const KindStats *Stats = Record.kind(Input.Kind);
  return Record.ConsecutiveFailures == 0 && Stats &&
         Stats->MeasuredAt > Record.EjectedUntil;
}

} // namespace

AdaptiveChoice::ServerPool AdaptiveChoice::makePool(const ChoiceInput &Input,
                                                    bool IsLocal) const {
  ServerPool Result;
  std::vector<Common::Micros> Latencies;
  for (std::size_t Index = 0; Index < Input.Servers.size(); ++Index) {
    const ServerEntry &Server = Input.Servers[Index];
    if ((Server.DataCentre == Input.LocalDataCentre) != IsLocal)
      continue;
    Result.Members.push_back(Index);
    const ServerRecord *Record = Input.Records.find(Server.Server);
    const KindStats *Stats = Record ? Record->kind(Input.Kind) : nullptr;
    if (Stats && Stats->Answers > 0)
      Latencies.push_back(Stats->SmoothedLatency);
  }
  if (Latencies.empty())
    return Result;
  Result.MeasuredCount = Latencies.size();
  // The lower median: of two servers the slow one must not set the baseline.
  const auto Middle = Latencies.begin() + (Latencies.size() - 1) / 2;
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  Result.MedianLatency = std::max(*Middle, Common::Micros(1));
  return Result;
}

void AdaptiveChoice::ejectOutliers(const ChoiceInput &Input,
                                   const ServerPool &Pool) {
  std::size_t Ejected = 0;
  for (const std::size_t Index : Pool.Members) {
    const ServerRecord *Record =
        Input.Records.find(Input.Servers[Index].Server);
    if (Record && Record->OnProbation)
      ++Ejected;
  }
  // The median of too few servers is no baseline for the others.
  const bool HasBaseline = 2 * Pool.MeasuredCount > Pool.Members.size();
  const std::size_t MaxEjected = Pool.Members.size() / ServersPerEjection;
  for (const std::size_t Index : Pool.Members) {
    ServerRecord *Record = Input.Records.find(Input.Servers[Index].Server);
    if (!Record || Record->EjectedUntil > Input.Now)
      continue;
    const bool IsOutlier =
        isFailing(*Record) ||
        (HasBaseline && isSlow(*Record, Input, Pool.MedianLatency));
    if (Record->OnProbation) {
      const bool Failed = Record->LastFailure > Record->EjectedUntil;
      if (!IsOutlier && hasPassedProbation(*Record, Input)) {
        Record->OnProbation = false;
        --Ejected;
      } else if (Failed || (IsOutlier && hasPassedProbation(*Record, Input))) {
        Record->EjectedUntil = Input.Now + EjectionTime;
      }
    } else if (IsOutlier && Ejected < MaxEjected) {
      Record->OnProbation = true;
      Record->EjectedUntil = Input.Now + EjectionTime;
      ++Ejected;
    }
  }
}

bool AdaptiveChoice::passesSlowStart(const ServerRecord &Record,
                                     Common::SteadyTime Now) {
  const double Share = Seconds(Now - Record.FirstSeen) / Seconds(SlowStartTime);
  if (Share >= 1)
    return true;
  std::uniform_real_distribution<double> Chance(0, 1);
  return Chance(Random) < std::max(Share, MinSlowStartShare);
}

std::vector<std::size_t> AdaptiveChoice::candidates(const ChoiceInput &Input,
                                                    const ServerPool &Pool) {
  std::vector<std::size_t> Preferred;
  std::vector<std::size_t> SlowStarting;
  std::vector<std::size_t> Ejected;
  for (const std::size_t Index : Pool.Members) {
    const std::string &Name = Input.Servers[Index].Server;
    if (!Input.mayChoose(Input.Servers[Index]))
      continue;
    const ServerRecord *Record = Input.Records.find(Name);
    if (!Record)
      Preferred.push_back(Index);
    else if (Record->EjectedUntil > Input.Now ||
             (Record->OnProbation && Record->OwnInFlight > 0))
      Ejected.push_back(Index);
    else
      (passesSlowStart(*Record, Input.Now) ? Preferred : SlowStarting)
          .push_back(Index);
  }
  if (!Preferred.empty())
    return Preferred;
  return SlowStarting.empty() ? Ejected : SlowStarting;
}

std::optional<std::size_t> AdaptiveChoice::betterOfTwo(const ChoiceInput &Input,
                                                       const ServerPool &Pool) {
  const std::vector<std::size_t> Allowed = candidates(Input, Pool);
  if (Allowed.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Pick(0, Allowed.size() - 1);
  const std::size_t First = Pick(Random);
  if (Allowed.size() == 1)
    return Allowed[First];
  // Two different servers, as a slow one compared with itself would be chosen.
  std::uniform_int_distribution<std::size_t> Offset(1, Allowed.size() - 1);
  const std::size_t Second = (First + Offset(Random)) % Allowed.size();
  const double FirstScore = score(Input, Allowed[First], Pool.MedianLatency);
  const double SecondScore = score(Input, Allowed[Second], Pool.MedianLatency);
  return Allowed[SecondScore < FirstScore ? Second : First];
}

std::optional<std::size_t> AdaptiveChoice::choose(const ChoiceInput &Input) {
  const ServerPool LocalPool = makePool(Input, true);
  ejectOutliers(Input, LocalPool);
  const std::optional<std::size_t> LocalChoice = betterOfTwo(Input, LocalPool);
  // Most calls find a free slot in the local data centre, so that no remote
  // servers have to be compared.
  if (LocalChoice && load(Input, *LocalChoice) < 1)
    return LocalChoice;
  ServerPool RemotePool = makePool(Input, false);
  if (RemotePool.MeasuredCount == 0)
    RemotePool.MedianLatency = LocalPool.MedianLatency + DefaultRemoteRoundTrip;
  ejectOutliers(Input, RemotePool);
  const std::optional<std::size_t> RemoteChoice =
      betterOfTwo(Input, RemotePool);
  if (!LocalChoice || !RemoteChoice)
    return LocalChoice ? LocalChoice : RemoteChoice;
  const Seconds LocalTime =
      expectedTime(Input, *LocalChoice, LocalPool.MedianLatency);
  const Seconds RemoteTime =
      expectedTime(Input, *RemoteChoice, RemotePool.MedianLatency);
  return RemoteTime < LocalTime ? RemoteChoice : LocalChoice;
}

} // namespace Routing
