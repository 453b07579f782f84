#include "Rollout/Coordinator.h"

#include <algorithm>
#include <utility>

#include "Rollout/Judge.h"

namespace Rollout {

namespace {

// Faults that show only some time after the start of a server have to be found
// in this time.
constexpr Common::Millis MinTrial{4'000};
// The part of the whole duration after which the trial ends with the evidence
// that there is, as the rest is needed to move the calls.
constexpr double MaxTrialShare = 0.5;
constexpr Common::Millis LoadTime{1'500};
// Faults that show only under the full load have to be found in this time, as
// the old servers stop when the roll-out is completed.
constexpr Common::Millis MinFull{2'000};
// The full stage may be shorter for an order that is about to end.
constexpr Common::Millis MinMargin{800};
// Calls of the load stage without which nothing is known of the load.
constexpr std::int64_t EnoughLoadCalls = 10;
// With fewer recent calls to other versions, all of them are compared with.
constexpr std::int64_t EnoughBaseCalls = 20;
// Besides all evidence, that of this time is looked at, so that a fault that
// begins late is not hidden by the calls before it.
constexpr Common::Millis RecentTime{1'500};
constexpr Common::Millis SnapshotInterval{250};
// Evidence that is enough to end the trial.
constexpr std::int64_t EnoughCalls = 25;
constexpr std::int64_t EnoughTimedCalls = 15;
// A report that is older is not used to complete.
constexpr Common::Millis ReportLifetime{1'500};
// No call runs longer, so servers that do not report have ended theirs.
constexpr Common::Millis LongestCall{10'000};
// An order that could not be judged before is rolled back this long before its
// end.
constexpr Common::Millis Margin{1'500};

} // namespace

void Coordinator::handleReport(const Report &Received, Common::SteadyTime Now) {
  Trail &State = Trails[Received.Service];
  if (Received.Position < State.Position)
    return;
  if (Received.Position > State.Position) {
    State = {};
    State.Position = Received.Position;
    State.StageSince = Now;
  }
  State.Reports[Received.DataCentre] = {Received, Now};
}

std::vector<Decision> Coordinator::decide(const ProgressTable &Table,
                                          Common::SteadyTime Now) {
  std::vector<Decision> Result;
  for (const auto &[Service, Known] : Table.all()) {
    if (isFinal(Known.Reached)) {
      Trails.erase(Service);
      continue;
    }
    Trail &State = Trails[Service];
    if (State.Position != Known.Ordered.Position) {
      State = {};
      State.Position = Known.Ordered.Position;
      State.Reached = Known.Reached;
      State.StageSince = Now;
    }
    if (auto Due = decideOne(Known, State, Now))
      Result.push_back(std::move(*Due));
  }
  return Result;
}

Decision Coordinator::advance(const Progress &Known, Stage Next,
                              std::string Reason) {
  Decision Result{Known, std::move(Reason)};
  Result.Next.Reached = Next;
  return Result;
}

std::optional<Decision> Coordinator::decideOne(const Progress &Known,
                                               Trail &State,
                                               Common::SteadyTime Now) {
  if (State.Reached != Known.Reached) {
    State.Reached = Known.Reached;
    State.StageSince = Now;
    // Calls of an earlier stage must not speak for this one.
    State.Recent.clear();
    State.IsStageNew = true;
  }
  if (Known.Reached == Stage::Withdrawn)
    return advance(Known, Stage::RolledBack, "withdrawn");

  Snapshot Sum{Now, {}, {}};
  int TargetServers = 0;
  for (const auto &[DataCentre, Entry] : State.Reports) {
    add(Sum.Target, Entry.Content.Target);
    add(Sum.Base, Entry.Content.Base);
    TargetServers += Entry.Content.TargetServers;
  }
  const Comparison By = Known.Reached == Stage::Full
                            ? Comparison::FailuresOnly
                            : Comparison::FailuresAndTimes;
  Finding Found;
  // Times under the full load say nothing against the version, and neither do
  // calls that were lost to it.
  if (Known.Reached != Stage::Full)
    Found = judge(Sum.Target, Sum.Base, By);
  if (!Found.IsBad && !State.Recent.empty()) {
    const Evidence RecentBase = difference(Sum.Base, State.Recent.front().Base);
    Found = judge(difference(Sum.Target, State.Recent.front().Target),
                  sumOfKinds(RecentBase).total() < EnoughBaseCalls ? Sum.Base
                                                                   : RecentBase,
                  By);
  }
  if (State.Recent.empty() ||
      Now - State.Recent.back().TakenAt >= SnapshotInterval)
    State.Recent.push_back(Sum);
  while (Now - State.Recent.front().TakenAt > RecentTime)
    State.Recent.pop_front();
  if (Found.IsBad)
    return advance(Known, Stage::Withdrawn, Found.Reason);

  const KindEvidence Calls = sumOfKinds(Sum.Target);
  if (std::exchange(State.IsStageNew, false))
    State.CallsBeforeStage = Calls.total();
  if (!State.FirstCall && Calls.total() > 0)
    State.FirstCall = Now;
  const Common::Duration Elapsed = Now - Known.KnownSince;
  const bool IsTrialOver =
      Elapsed >= std::chrono::duration_cast<Common::Micros>(
                     MaxTrialShare * Known.Ordered.Duration);
  const std::string Counts = "calls " + std::to_string(Calls.total()) +
                             " timed " + std::to_string(Calls.timed()) +
                             " servers " + std::to_string(TargetServers);
  if (Known.Reached == Stage::Trial) {
    const bool IsEnough = Calls.total() >= EnoughCalls &&
                          Calls.timed() >= EnoughTimedCalls &&
                          State.FirstCall && Now - *State.FirstCall >= MinTrial;
    // A version that was hardly called is not taken over.
    if (IsEnough || (IsTrialOver && Calls.Answered > 0 && TargetServers > 0))
      return advance(Known, Stage::Load, Counts);
    if (Elapsed >= Known.Ordered.Duration - Margin)
      return advance(Known, Stage::Withdrawn, "not judged in time: " + Counts);
  } else if (Known.Reached == Stage::Load) {
    if (Now - State.StageSince >= LoadTime && TargetServers > 0 &&
        Calls.total() - State.CallsBeforeStage >= EnoughLoadCalls)
      return advance(Known, Stage::Full, Counts);
    if (Elapsed >= Known.Ordered.Duration - Margin)
      return advance(Known, Stage::Withdrawn,
                     "not judged under load in time: " + Counts);
  } else if ((Now - State.StageSince >= MinFull ||
              Elapsed >= Known.Ordered.Duration - MinMargin) &&
             haveOthersEnded(State, Now)) {
    return advance(Known, Stage::Completed, Counts);
  }
  return std::nullopt;
}

// Whether no call can go to or run on servers of other versions any more.
bool Coordinator::haveOthersEnded(const Trail &State,
                                  Common::SteadyTime Now) const {
  if (Now - State.StageSince >= LongestCall)
    return true;
  return !DataCentres.empty() &&
         std::all_of(DataCentres.begin(), DataCentres.end(),
                     [&](const std::string &Name) {
                       const auto Found = State.Reports.find(Name);
                       return Found != State.Reports.end() &&
                              Now - Found->second.ReceivedAt < ReportLifetime &&
                              Found->second.Content.OpenBaseServers == 0;
                     });
}

} // namespace Rollout
