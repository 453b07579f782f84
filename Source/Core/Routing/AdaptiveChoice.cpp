#include "Routing/AdaptiveChoice.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

using Seconds = std::chrono::duration<double>;

// Round trip to another data centre, until calls there show their latency.
constexpr Common::Micros ExtraWay{8'000};
constexpr Common::Millis ReportLife{1'000};
// A latency that is not measured again comes half as near to its peers' in
// this time.
constexpr Common::Millis LatencyHalfLife{500};
constexpr Common::Millis SlowStartTime{10'000};
constexpr double LeastSlowStartShare = 0.1;
constexpr double StragglerFactor = 3;
// Differences below this are noise, however fast the peers are.
constexpr Common::Micros LeastStragglerExcess{2'000};
constexpr int FailureLimit = 3;
constexpr Common::Millis AsideTime{500};
// At most one of so many servers of a data centre is set aside.
constexpr std::size_t ServersForEachAside = 3;

double ageWeight(Common::Duration Age, Common::Duration HalfLife) {
  return std::exp2(-Seconds(Age) / Seconds(HalfLife));
}

// Latency of the call's kind by answers and by how long attempts in flight have
// waited already, which tells of a slow server before its first slow answer.
Common::Micros latencyOf(const ServerRecord *Record, const ChoiceInput &Input,
                         Common::Micros PeerLatency) {
  if (!Record)
    return PeerLatency;
  const KindLatency *Shown = Record->kind(Input.Kind);
  if (!Shown)
    return PeerLatency;
  Common::Micros Latency = PeerLatency;
  if (Shown->Answers > 0)
    Latency += std::chrono::duration_cast<Common::Micros>(
        (Shown->SmoothedLatency - PeerLatency) *
        ageWeight(Input.Now - Shown->MeasuredAt, LatencyHalfLife));
  if (Shown->InFlight.empty())
    return Latency;
  const auto Waited = std::chrono::duration_cast<Common::Micros>(
      Input.Now - *Shown->InFlight.begin());
  return std::max(Latency, Waited);
}

// Calls at the server: the own ones exactly, those of others as reported.
double pendingAt(const ServerRecord *Record, Common::SteadyTime Now) {
  if (!Record)
    return 0;
  const double Reported = Record->Reported.Queued + Record->Reported.BusySlots;
  const double OfOthers = std::max(0.0, Reported - Record->OwnInFlightAtReport);
  const double Freshness = std::max(0.0, 1 - Seconds(Now - Record->ReportedAt) /
                                                 Seconds(ReportLife));
  return Record->OwnInFlight + OfOthers * Freshness;
}

double load(const ChoiceInput &Input, std::size_t Index) {
  const ServerEntry &Server = Input.Servers[Index];
  return pendingAt(Input.Records.find(Server.Server), Input.Now) /
         std::max(Server.Slots, 1);
}

double score(const ChoiceInput &Input, std::size_t Index,
             Common::Micros PeerLatency) {
  const ServerRecord *Record = Input.Records.find(Input.Servers[Index].Server);
  return Seconds(latencyOf(Record, Input, PeerLatency)).count() *
         (1 + load(Input, Index));
}

// Time until the answer: one latency, and one more for each round of calls
// that has to end before a slot is free.
Seconds expectedTime(const ChoiceInput &Input, std::size_t Index,
                     Common::Micros PeerLatency) {
  const ServerRecord *Record = Input.Records.find(Input.Servers[Index].Server);
  const double Rounds = std::max(0.0, load(Input, Index) - 1);
  return Seconds(latencyOf(Record, Input, PeerLatency)) * (1 + Rounds);
}

bool isFailing(const ServerRecord &Record) {
  return Record.ConsecutiveFailures >= FailureLimit;
}

bool isSlow(const ServerRecord &Record, const ChoiceInput &Input,
            Common::Micros PeerLatency) {
  const Common::Micros Latency = latencyOf(&Record, Input, PeerLatency);
  return Latency > StragglerFactor * PeerLatency &&
         Latency > PeerLatency + LeastStragglerExcess;
}

// Whether the first call after the time aside has ended well.
bool hasPassedProbation(const ServerRecord &Record, const ChoiceInput &Input) {
  const KindLatency *Shown = Record.kind(Input.Kind);
  return Record.ConsecutiveFailures == 0 && Shown &&
         Shown->MeasuredAt > Record.AsideUntil;
}

} // namespace

AdaptiveChoice::Group AdaptiveChoice::makeGroup(const ChoiceInput &Input,
                                                bool Own) const {
  Group Result;
  std::vector<Common::Micros> Latencies;
  for (std::size_t Index = 0; Index < Input.Servers.size(); ++Index) {
    const ServerEntry &Each = Input.Servers[Index];
    if ((Each.DataCentre == Input.OwnDataCentre) != Own)
      continue;
    Result.Members.push_back(Index);
    const ServerRecord *Record = Input.Records.find(Each.Server);
    const KindLatency *Shown = Record ? Record->kind(Input.Kind) : nullptr;
    if (Shown && Shown->Answers > 0)
      Latencies.push_back(Shown->SmoothedLatency);
  }
  if (Latencies.empty())
    return Result;
  Result.Measured = Latencies.size();
  // The lower middle: of two servers the slow one must not set the measure.
  const auto Middle = Latencies.begin() + (Latencies.size() - 1) / 2;
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  Result.MedianLatency = std::max(*Middle, Common::Micros(1));
  return Result;
}

void AdaptiveChoice::setAside(const ChoiceInput &Input, const Group &From) {
  std::size_t Aside = 0;
  for (const std::size_t Index : From.Members) {
    const ServerRecord *Record =
        Input.Records.find(Input.Servers[Index].Server);
    if (Record && Record->OnProbation)
      ++Aside;
  }
  // Few answers say nothing about what is usual.
  const bool IsKnown = 2 * From.Measured > From.Members.size();
  const std::size_t Cap = From.Members.size() / ServersForEachAside;
  for (const std::size_t Index : From.Members) {
    ServerRecord *Record = Input.Records.find(Input.Servers[Index].Server);
    if (!Record || Record->AsideUntil > Input.Now)
      continue;
    const bool Slow = isFailing(*Record) ||
                      (IsKnown && isSlow(*Record, Input, From.MedianLatency));
    if (Record->OnProbation) {
      const bool Failed = Record->LastFailure > Record->AsideUntil;
      if (!Slow && hasPassedProbation(*Record, Input)) {
        Record->OnProbation = false;
        --Aside;
      } else if (Failed || (Slow && hasPassedProbation(*Record, Input))) {
        Record->AsideUntil = Input.Now + AsideTime;
      }
    } else if (Slow && Aside < Cap) {
      Record->OnProbation = true;
      Record->AsideUntil = Input.Now + AsideTime;
      ++Aside;
    }
  }
}

bool AdaptiveChoice::passesSlowStart(const ServerRecord &Record,
                                     Common::SteadyTime Now) {
  const double Share = Seconds(Now - Record.FirstSeen) / Seconds(SlowStartTime);
  if (Share >= 1)
    return true;
  std::uniform_real_distribution<double> Chance(0, 1);
  return Chance(Random) < std::max(Share, LeastSlowStartShare);
}

std::vector<std::size_t> AdaptiveChoice::candidates(const ChoiceInput &Input,
                                                    const Group &From) {
  std::vector<std::size_t> Preferred;
  std::vector<std::size_t> Starting;
  std::vector<std::size_t> Aside;
  for (const std::size_t Index : From.Members) {
    const std::string &Name = Input.Servers[Index].Server;
    if (Input.Excluded.contains(Name))
      continue;
    const ServerRecord *Record = Input.Records.find(Name);
    if (!Record)
      Preferred.push_back(Index);
    else if (Record->AsideUntil > Input.Now ||
             (Record->OnProbation && Record->OwnInFlight > 0))
      Aside.push_back(Index);
    else
      (passesSlowStart(*Record, Input.Now) ? Preferred : Starting)
          .push_back(Index);
  }
  if (!Preferred.empty())
    return Preferred;
  return Starting.empty() ? Aside : Starting;
}

std::optional<std::size_t> AdaptiveChoice::betterOfTwo(const ChoiceInput &Input,
                                                       const Group &From) {
  const std::vector<std::size_t> Allowed = candidates(Input, From);
  if (Allowed.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Pick(0, Allowed.size() - 1);
  const std::size_t First = Pick(Random);
  if (Allowed.size() == 1)
    return Allowed[First];
  // Two different ones: otherwise a slow server meets itself and wins.
  std::uniform_int_distribution<std::size_t> Step(1, Allowed.size() - 1);
  const std::size_t Second = (First + Step(Random)) % Allowed.size();
  const double FirstScore = score(Input, Allowed[First], From.MedianLatency);
  const double SecondScore = score(Input, Allowed[Second], From.MedianLatency);
  return Allowed[SecondScore < FirstScore ? Second : First];
}

std::optional<std::size_t> AdaptiveChoice::choose(const ChoiceInput &Input) {
  const Group Here = makeGroup(Input, true);
  setAside(Input, Here);
  const std::optional<std::size_t> Own = betterOfTwo(Input, Here);
  // Most calls find a free slot here, and need no look elsewhere.
  if (Own && load(Input, *Own) < 1)
    return Own;
  Group There = makeGroup(Input, false);
  if (There.Measured == 0)
    There.MedianLatency = Here.MedianLatency + ExtraWay;
  setAside(Input, There);
  const std::optional<std::size_t> Other = betterOfTwo(Input, There);
  if (!Own || !Other)
    return Own ? Own : Other;
  const Seconds WaitHere = expectedTime(Input, *Own, Here.MedianLatency);
  const Seconds WaitThere = expectedTime(Input, *Other, There.MedianLatency);
  return WaitThere < WaitHere ? Other : Own;
}

} // namespace Routing
