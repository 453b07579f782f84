#include "Rollout/Progress.h"

#include <algorithm>
#include <array>

namespace Rollout {

namespace {

// Counted from the operator's bound for the whole roll-out.
constexpr Common::Millis CompletedTime{10'000};
constexpr Common::Millis RolledBackTime{60'000};

} // namespace

bool isInForce(const Progress &Subject, Common::SteadyTime Now) {
  const Common::Duration Rest =
      Subject.Reached == Stage::Completed ? CompletedTime : RolledBackTime;
  return !isFinal(Subject.Reached) ||
         Now - Subject.KnownSince <= Subject.Ordered.Duration + Rest;
}

std::string_view stageName(Stage Reached) {
  constexpr std::array<std::string_view, 6> Names = {
      "trial", "load", "full", "withdrawn", "rolled-back", "completed"};
  return Names.at(static_cast<std::size_t>(Reached));
}

bool ProgressTable::merge(const Progress &Update) {
  const auto [Entry, IsNew] =
      ByService.try_emplace(Update.Ordered.Service, Update);
  if (IsNew)
    return true;
  Progress &Recorded = Entry->second;
  const auto RankOf = [](const Progress &Subject) {
    return std::pair(Subject.Ordered.Position, Subject.Reached);
  };
  if (Update.Ordered.Position == Recorded.Ordered.Position)
    Recorded.KnownSince = std::min(Recorded.KnownSince, Update.KnownSince);
  if (RankOf(Update) <= RankOf(Recorded))
    return false;
  const Common::SteadyTime KnownSince =
      Update.Ordered.Position == Recorded.Ordered.Position ? Recorded.KnownSince
                                                           : Update.KnownSince;
  Recorded = Update;
  Recorded.KnownSince = KnownSince;
  return true;
}

const Progress *ProgressTable::find(const std::string &Service) const {
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? nullptr : &Found->second;
}

bool ProgressTable::isAnyRunning() const {
  return std::any_of(ByService.begin(), ByService.end(), [](const auto &Entry) {
    return !isFinal(Entry.second.Reached);
  });
}

} // namespace Rollout
