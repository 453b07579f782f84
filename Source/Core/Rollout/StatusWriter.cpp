#include "Rollout/StatusWriter.h"

#include <algorithm>

namespace Rollout {

namespace {

constexpr Common::Millis RetryDelay{500};
// After this time another coordinator may have ended an order that this one
// began.
constexpr Common::Millis SoleOwnerTime{2'000};

State stateOf(Stage Reached) {
  if (Reached == Stage::Completed)
    return State::Completed;
  return Reached == Stage::RolledBack ? State::RolledBack : State::Running;
}

Progress withState(Progress Known, State Reached) {
  Known.Reached =
      Reached == State::Completed ? Stage::Completed : Stage::RolledBack;
  return Known;
}

} // namespace

void StatusWriter::begin(const Progress &Ordered) {
  ByService.insert_or_assign(Ordered.Ordered.Service,
                             Pending{Ordered, Origin::Begun});
}

void StatusWriter::resume(const Progress &Ordered) {
  ByService.insert_or_assign(Ordered.Ordered.Service,
                             Pending{Ordered, Origin::Resumed});
}

void StatusWriter::request(const Progress &Final) {
  // A decision is repeated until it is in force.
  if (InFlight && InFlight->Wanted.Ordered == Final.Ordered &&
      InFlight->Wanted.Reached == Final.Reached)
    return;
  ByService.insert_or_assign(Final.Ordered.Service,
                             Pending{Final, Origin::Decided});
}

void StatusWriter::restore(const Progress &Known) {
  // What is to be written anyway is newer.
  ByService.try_emplace(Known.Ordered.Service,
                        Pending{Known, Origin::Restored});
}

bool StatusWriter::isDue(Common::SteadyTime Now) const {
  return !IsBusy && !ByService.empty() && Now >= NextAt;
}

WriteStep StatusWriter::onStatuses(const StatusesRead &Read,
                                   Common::SteadyTime Now) {
  WriteStep Result;
  if (Read.Code != Common::ResultCode::Ok || ByService.empty()) {
    retryAt(Now + RetryDelay);
    return Result;
  }
  InFlight = std::move(ByService.begin()->second);
  ByService.erase(ByService.begin());
  const Progress &Wanted = InFlight->Wanted;
  const auto Found = std::find_if(
      Read.Statuses.begin(), Read.Statuses.end(), [&](const Status &Entry) {
        return Entry.Service == Wanted.Ordered.Service &&
               Entry.TargetVersion == Wanted.Ordered.TargetVersion;
      });
  const bool IsFresh = InFlight->From == Origin::Begun &&
                       Now - Wanted.KnownSince < SoleOwnerTime;
  if (Found != Read.Statuses.end() && !IsFresh &&
      (Found->Reached != State::Running ||
       stateOf(Wanted.Reached) == State::Running)) {
    if (Found->Reached != State::Running)
      Result.Adopted.push_back(withState(Wanted, Found->Reached));
    else if (InFlight->From == Origin::Resumed)
      Result.Adopted.push_back(Wanted);
    InFlight.reset();
    IsBusy = false;
    return Result;
  }
  Result.Write = Status{Wanted.Ordered.Service, Wanted.Ordered.TargetVersion,
                        stateOf(Wanted.Reached)};
  return Result;
}

std::vector<Progress> StatusWriter::onWritten(Common::ResultCode Code,
                                              Common::SteadyTime Now) {
  if (Code == Common::ResultCode::Ok) {
    IsBusy = false;
    const Progress Written = InFlight->Wanted;
    const bool WasUnknown = InFlight->From != Origin::Begun;
    InFlight.reset();
    return WasUnknown ? std::vector{Written} : std::vector<Progress>();
  }
  // A later decision for the service replaces this one.
  ByService.try_emplace(InFlight->Wanted.Ordered.Service, std::move(*InFlight));
  InFlight.reset();
  retryAt(Now + RetryDelay);
  return {};
}

void StatusWriter::retryAt(Common::SteadyTime Time) {
  IsBusy = false;
  NextAt = Time;
}

} // namespace Rollout
