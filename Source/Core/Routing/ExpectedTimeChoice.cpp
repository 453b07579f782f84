#include "Routing/ExpectedTimeChoice.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

using Seconds = std::chrono::duration<double>;

// Half of what a report says is forgotten in this time: queues change within
// the time of a few calls.
constexpr Seconds QueueHalfLife{0.3};
// Speeds of servers change more slowly; a slow one is tried again after some
// of this.
constexpr Seconds SpeedHalfLife{2.0};
// What a call to another data centre has to save: the way there and back
// several times over, since its bytes are paid for.
constexpr Seconds CrossDataCentreCost{0.030};
// An answer expected within this share of its target is not sought farther
// away; the rest covers calls that take longer than usual.
constexpr double NearShareOfTarget = 0.5;
// Share of the calls without a quick server here that try another data centre
// all the same.
constexpr double ProbeShare = 0.04;
// Until a first report comes.
constexpr Seconds DefaultSlotTime{0.050};
// Weight of a busy server before its slots are full, as some slow down then.
constexpr double CrowdingWeight = 0.3;
// What a call loses when its server fails it, by the share that it fails.
constexpr Seconds FailureCost{0.5};
// What a node that could not be reached is avoided by, and for how long.
constexpr Seconds UnreachableCost{1.0};
constexpr Seconds UnreachableHalfLife{0.4};
constexpr int MaxCountedFailures = 5;
// Spreads the calls of near nodes that know the same among equal servers.
constexpr double Jitter = 0.1;

double remaining(Common::Duration Age, Seconds HalfLife) {
  return std::exp2(-Seconds(Age) / HalfLife);
}

// Own calls since the report count exactly, those of others as reported. What
// has become of a report that is out of date is taken to be usual.
double pendingAt(const ServerRecord &Record, double UsualPending,
                 Common::SteadyTime Now) {
  // One that was never heard of is worth a try.
  if (Record.Reported.Slots == 0)
    return Record.OwnInFlight;
  const double Reported = Record.Reported.Queued + Record.Reported.BusySlots;
  const double OfOthers = std::max(0.0, Reported - Record.OwnInFlightAtReport);
  const double Known = remaining(Now - Record.ReportedAt, QueueHalfLife);
  const double Unknown = std::max(0.0, UsualPending - Record.OwnInFlight);
  return Record.OwnInFlight + OfOthers * Known + Unknown * (1 - Known);
}

Seconds failureCost(const ServerRecord &Record, Common::SteadyTime Now) {
  const double Share = Record.Reported.FailurePercent / 100.0 *
                       remaining(Now - Record.ReportedAt, SpeedHalfLife);
  const int Failures = std::min(Record.ConsecutiveFailures, MaxCountedFailures);
  return FailureCost * Share +
         UnreachableCost *
             (static_cast<double>(Failures) / MaxCountedFailures *
              remaining(Now - Record.LastFailure, UnreachableHalfLife));
}

} // namespace

// The median of the times that calls of the kind hold a slot, and the mean of
// the calls pending by how fresh their reports are.
ExpectedTimeChoice::Usual
ExpectedTimeChoice::usualOf(const ChoiceInput &Input) {
  Usual Result{DefaultSlotTime, 0};
  std::vector<Seconds> Times;
  double Pending = 0;
  double Weight = 0;
  for (const ServerEntry &Each : Input.Servers) {
    const ServerRecord *Record = Input.Records.find(Each.Server);
    if (!Record)
      continue;
    const KindLatency *Shown = Record->kind(Input.Kind);
    if (Shown && Shown->SlotTime.count() > 0)
      Times.emplace_back(Shown->SlotTime);
    const double Known =
        remaining(Input.Now - Record->ReportedAt, SpeedHalfLife);
    Pending += Known * (Record->Reported.Queued + Record->Reported.BusySlots);
    Weight += Known;
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

// Time in a slot for a call of the kind, and before it the time that the calls
// ahead take, whatever their kinds are.
ExpectedTimeChoice::Seconds ExpectedTimeChoice::expectedTime(
    const ChoiceInput &Input, const ServerEntry &Server, const Usual &Among) {
  Seconds Cost = Server.DataCentre == Input.OwnDataCentre ? Seconds(0)
                                                          : CrossDataCentreCost;
  const ServerRecord *Record = Input.Records.find(Server.Server);
  if (!Record)
    return Cost + Among.SlotTime;
  Seconds SlotTime = Among.SlotTime;
  const KindLatency *Shown = Record->kind(Input.Kind);
  if (Shown && Shown->SlotTime.count() > 0)
    SlotTime += (Seconds(Shown->SlotTime) - Among.SlotTime) *
                remaining(Input.Now - Shown->MeasuredAt, SpeedHalfLife);
  const double Slots = std::max(Server.Slots, 1);
  const double Pending = pendingAt(*Record, Among.Pending, Input.Now);
  const double Ahead = std::max(0.0, Pending - Slots + 1);
  const double Crowding = std::min(Pending / Slots, 1.0);
  const Seconds EachAhead = Record->Reported.SlotTime.count() > 0
                                ? Seconds(Record->Reported.SlotTime)
                                : Among.SlotTime;
  std::uniform_real_distribution<double> Spread(1, 1 + Jitter);
  return Cost + failureCost(*Record, Input.Now) +
         Spread(Random) *
             (EachAhead * (Ahead / Slots) +
              SlotTime * (1 + CrowdingWeight * Crowding * Crowding));
}

std::optional<ExpectedTimeChoice::Candidate>
ExpectedTimeChoice::best(const ChoiceInput &Input, bool InOwn,
                         const Usual &Among) {
  std::optional<Candidate> Best;
  for (std::size_t Index = 0; Index < Input.Servers.size(); ++Index) {
    const ServerEntry &Each = Input.Servers[Index];
    if ((Each.DataCentre == Input.OwnDataCentre) != InOwn ||
        Input.Excluded.contains(Each.Server))
      continue;
    const Seconds Cost = expectedTime(Input, Each, Among);
    if (!Best || Cost < Best->Cost)
      Best = Candidate{Index, Cost};
  }
  return Best;
}

std::optional<std::size_t>
ExpectedTimeChoice::choose(const ChoiceInput &Input) {
  const Usual Among = usualOf(Input);
  const auto Here = best(Input, true, Among);
  if (Here && Here->Cost < NearShareOfTarget * Seconds(Input.TargetLeft))
    return Here->Index;
  const auto There = best(Input, false, Among);
  // Nothing is heard of other data centres unless something is sent there.
  if (Here && There &&
      std::uniform_real_distribution<double>(0, 1)(Random) < ProbeShare)
    return There->Index;
  if (!Here || !There)
    return Here    ? std::optional(Here->Index)
           : There ? std::optional(There->Index)
                   : std::nullopt;
  return There->Cost < Here->Cost ? There->Index : Here->Index;
}

} // namespace Routing
