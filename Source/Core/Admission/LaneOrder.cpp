#include "Admission/LaneOrder.h"

#include <algorithm>
#include <cmath>

namespace Admission {

using Common::ResultCode;

namespace {

// At least one slot in so many is reserved for short calls.
constexpr int SlotsPerReserved = 3;
// Standard deviations of a Poisson load that the reserve covers.
constexpr double ReserveDeviations = 2;
constexpr std::chrono::duration<double> ShortLoadMemory{1.0};

} // namespace

void LaneOrder::add(const Ticket &Call, const SlotUse &Use,
                    Common::SteadyTime Now, AdmissionActions &Actions) {
  observeShortLoad(Use, Now);
  const bool IsLong = isLong(Call);
  Lane &Own = IsLong ? Long : Short;
  const bool MayRunNow =
      Own.size() == 0 && Use.hasFreeSlot() && (!IsLong || longMayRun(Use, Now));
  // A call that need not wait is always tried, so that wrong estimates mend.
  if (!MayRunNow &&
      Now + expectedWait(Call, Use, Now) + usualTime(Call) >= Call.Deadline) {
    Actions.push_back(RefuseCall{Call.Id, ResultCode::DeadlineTooClose});
    return;
  }
  Own.add(Call, Now);
  if (Own.size() <= MaxWaitingPerSlot * static_cast<std::size_t>(Use.Slots))
    return;
  if (const auto Evicted = Own.takeOldestOfLongestCaller())
    Actions.push_back(RefuseCall{Evicted->Id, ResultCode::QueueFull});
}

std::optional<Ticket> LaneOrder::takeNext(const SlotUse &Use,
                                          Common::SteadyTime Now) {
  observeShortLoad(Use, Now);
  if (!Use.hasFreeSlot())
    return std::nullopt;
  if (longGoesFirst(Use, Now))
    return Long.takeNext(Now);
  if (auto Next = takeShort(Use, Now))
    return Next;
  return longMayRun(Use, Now) ? Long.takeNext(Now) : std::nullopt;
}

std::optional<Ticket> LaneOrder::takeShort(const SlotUse &Use,
                                           Common::SteadyTime Now) {
  while (auto Next = Short.takeNext(Now)) {
    const bool HeldBack =
        isLong(*Next) ||
        (hasOverdueSibling(*Next, Use, Now) && !longMayRun(Use, Now));
    if (!HeldBack)
      return Next;
    Long.add(*Next, Now);
  }
  return std::nullopt;
}

bool LaneOrder::withdraw(TicketId Id) {
  const auto Named = [Id](const Ticket &Each) { return Each.Id == Id; };
  return !Short.takeIf(Named).empty() || !Long.takeIf(Named).empty();
}

void LaneOrder::expire(Common::SteadyTime Now, AdmissionActions &Actions) {
  for (Lane *Each : {&Short, &Long}) {
    for (const Ticket &Late : Each->takeIf([&](const Ticket &Call) {
           const bool Waited = Call.Arrived < Now;
           return Call.Deadline <=
                  Now + (Waited ? usualTime(Call) : Common::Micros(0));
         }))
      Actions.push_back(RefuseCall{Late.Id, ResultCode::DeadlineTooClose});
    if (!Each->isOverloaded(Now))
      continue;
    // Half of its time is left for a try at another server.
    for (const Ticket &Old : Each->takeIf([&](const Ticket &Call) {
           return Now - Call.Arrived > Call.Deadline - Now;
         }))
      Actions.push_back(RefuseCall{Old.Id, ResultCode::QueueFull});
  }
}

void LaneOrder::refuseAll(ResultCode Code, AdmissionActions &Actions) {
  for (Lane *Each : {&Short, &Long})
    for (const Ticket &Call : Each->takeIf([](const Ticket &) { return true; }))
      Actions.push_back(RefuseCall{Call.Id, Code});
}

void LaneOrder::learn(const Ticket &Call, Common::Micros Took, Ending How) {
  if (How == Ending::NotRun)
    return;
  // A call that was cut off would have taken at least so long.
  if (How == Ending::CutOff && Took <= usualTime(Call))
    return;
  Times.learn(Call.Kind, Call.LongLane, Took);
}

LaneOrder::RunningShare LaneOrder::runningShare(const SlotUse &Use,
                                                Common::SteadyTime Now) const {
  const auto Limit = Times.longAfter();
  RunningShare Share;
  for (const auto &[Id, Each] : Use.Running) {
    const bool Overdue = Limit && Now - Each.StartedAt > *Limit;
    if (Overdue || isLong(Each.Admitted))
      ++Share.Long;
    else
      ++Share.Short;
  }
  return Share;
}

bool LaneOrder::isLong(const Ticket &Call) const {
  return Call.LongLane || Times.runsLong(Call.Kind);
}

bool LaneOrder::hasOverdueSibling(const Ticket &Call, const SlotUse &Use,
                                  Common::SteadyTime Now) const {
  const auto Limit = Times.longAfter();
  return Limit && std::any_of(Use.Running.begin(), Use.Running.end(),
                              [&](const auto &Each) {
                                return Each.second.Admitted.Kind == Call.Kind &&
                                       Now - Each.second.StartedAt > *Limit;
                              });
}

int LaneOrder::reservedForShort(int Slots) const {
  const int Least = (Slots + SlotsPerReserved - 1) / SlotsPerReserved;
  const int Wanted = static_cast<int>(
      std::ceil(ShortLoad + ReserveDeviations * std::sqrt(ShortLoad)));
  return std::min(std::max(Least, Wanted), Slots - 1);
}

void LaneOrder::observeShortLoad(const SlotUse &Use, Common::SteadyTime Now) {
  const std::chrono::duration<double> Since = Now - ShortLoadAt;
  ShortLoadAt = Now;
  const double Current =
      runningShare(Use, Now).Short + static_cast<double>(Short.size());
  const double Fresh = 1 - std::exp(-Since / ShortLoadMemory);
  ShortLoad += (Current - ShortLoad) * Fresh;
}

bool LaneOrder::longMayRun(const SlotUse &Use, Common::SteadyTime Now) const {
  return runningShare(Use, Now).Long < Use.Slots - reservedForShort(Use.Slots);
}

bool LaneOrder::longGoesFirst(const SlotUse &Use,
                              Common::SteadyTime Now) const {
  const auto OldestLong = Long.oldestArrival();
  if (!OldestLong)
    return false;
  // With a single slot there is nothing to reserve: the older lane is next.
  const auto OldestShort = Short.oldestArrival();
  if (Use.Slots == 1)
    return !OldestShort || *OldestLong < *OldestShort;
  // Long calls keep one slot, however many short ones there are.
  return runningShare(Use, Now).Long == 0;
}

Common::Micros LaneOrder::expectedWait(const Ticket &Call, const SlotUse &Use,
                                       Common::SteadyTime Now) const {
  const bool IsLong = isLong(Call);
  const Lane &Own = IsLong ? Long : Short;
  const Common::Micros Each =
      IsLong ? usualTime(Call)
             : Times.typicalShort().value_or(Common::Micros(0));
  const int Slots =
      IsLong ? std::max(Use.Slots - reservedForShort(Use.Slots), 1) : Use.Slots;
  // In an overloaded lane the newest call is the next.
  const std::int64_t Ahead =
      Own.isOverloaded(Now) ? 1 : static_cast<std::int64_t>(Own.size()) + 1;
  return Each * Ahead / Slots;
}

Common::Micros LaneOrder::usualTime(const Ticket &Call) const {
  return Times.usual(Call.Kind).value_or(Common::Micros(0));
}

} // namespace Admission
