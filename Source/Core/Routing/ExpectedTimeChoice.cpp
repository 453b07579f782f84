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

Seconds usualSlotTime(const ChoiceInput &Input) {
  std::vector<Seconds> Reported;
  for (const ServerEntry &Each : Input.Servers) {
    const ServerRecord *Record = Input.Records.find(Each.Server);
    if (Record && Record->Reported.SlotTime.count() > 0)
      Reported.emplace_back(Record->Reported.SlotTime);
  }
  if (Reported.empty())
    return DefaultSlotTime;
  const auto Middle =
      Reported.begin() + static_cast<std::ptrdiff_t>((Reported.size() - 1) / 2);
  std::nth_element(Reported.begin(), Middle, Reported.end());
  return *Middle;
}

// Own calls since the report count exactly, those of others as reported.
double pendingAt(const ServerRecord &Record, Common::SteadyTime Now) {
  const double Reported = Record.Reported.Queued + Record.Reported.BusySlots;
  const double OfOthers = std::max(0.0, Reported - Record.OwnInFlightAtReport);
  return Record.OwnInFlight +
         OfOthers * remaining(Now - Record.ReportedAt, QueueHalfLife);
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

ExpectedTimeChoice::Seconds
ExpectedTimeChoice::expectedTime(const ChoiceInput &Input,
                                 const ServerEntry &Server,
                                 Seconds UsualSlotTime) {
  Seconds Cost = Server.DataCentre == Input.OwnDataCentre ? Seconds(0)
                                                          : CrossDataCentreCost;
  const ServerRecord *Record = Input.Records.find(Server.Server);
  if (!Record)
    return Cost + UsualSlotTime;
  Seconds SlotTime = UsualSlotTime;
  if (Record->Reported.SlotTime.count() > 0)
    SlotTime += (Seconds(Record->Reported.SlotTime) - UsualSlotTime) *
                remaining(Input.Now - Record->ReportedAt, SpeedHalfLife);
  const double Slots = std::max(Server.Slots, 1);
  const double Pending = pendingAt(*Record, Input.Now);
  const double Ahead = std::max(0.0, Pending - Slots + 1);
  const double Crowding = std::min(Pending / Slots, 1.0);
  std::uniform_real_distribution<double> Spread(1, 1 + Jitter);
  return Cost + failureCost(*Record, Input.Now) +
         SlotTime * Spread(Random) *
             (1 + Ahead / Slots + CrowdingWeight * Crowding * Crowding);
}

std::optional<std::size_t>
ExpectedTimeChoice::choose(const ChoiceInput &Input) {
  const Seconds Usual = usualSlotTime(Input);
  std::optional<std::size_t> Best;
  Seconds Least = Seconds::max();
  for (std::size_t Index = 0; Index < Input.Servers.size(); ++Index) {
    if (Input.Excluded.contains(Input.Servers[Index].Server))
      continue;
    const Seconds Cost = expectedTime(Input, Input.Servers[Index], Usual);
    if (!Best || Cost < Least) {
      Best = Index;
      Least = Cost;
    }
  }
  return Best;
}

} // namespace Routing
