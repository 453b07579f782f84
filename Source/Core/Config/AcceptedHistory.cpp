#include "Config/AcceptedHistory.h"

#include "Common/Error.h"
#include "Config/ObjectSetBuilder.h"

namespace Config {

using Common::ResultCode;

namespace {

constexpr std::size_t MaxVerdicts = 1024;

} // namespace

std::optional<RecordResult> AcceptedHistory::apply(Version Offset,
                                                   const Record &Proposal) {
  if (Offset <= LastOffset || Halted)
    return std::nullopt;
  const RecordResult Judged = judge(Offset, Proposal);
  if (Judged.Code == ResultCode::RuleLevelUnknown)
    Halted = true;
  else
    LastOffset = Offset;
  remember(Judged);
  return Judged;
}

std::optional<RecordResult>
AcceptedHistory::applyMalformed(Version Offset, const std::string &Detail) {
  if (Offset <= LastOffset || Halted)
    return std::nullopt;
  LastOffset = Offset;
  RecordResult Judged;
  Judged.Code = ResultCode::RecordMalformed;
  Judged.At = Offset;
  Judged.Detail = Detail;
  remember(Judged);
  return Judged;
}

RecordResult AcceptedHistory::judge(Version Offset, const Record &Proposal) {
  RecordResult Judged;
  Judged.RecordId = Proposal.Id;
  Judged.At = Offset;
  Judged.Base = Proposal.Base;
  Judged.Author = Proposal.Author;
  Judged.Note = Proposal.Note;
  if (Proposal.Level > CurrentRuleLevel) {
    Judged.Code = ResultCode::RuleLevelUnknown;
    Judged.Detail = "level " + std::to_string(Proposal.Level);
    return Judged;
  }
  if (Proposal.Base != Current.Number) {
    refuseByBase(Judged);
    return Judged;
  }
  ObjectSetBuilder Builder;
  Builder.input("record " + std::to_string(Offset), Proposal.SetText);
  if (!Builder.faults().empty()) {
    Judged.Code = ResultCode::PublishSetInvalid;
    Judged.Detail = Builder.faults().front().text();
    return Judged;
  }
  Current = AcceptedSet{Offset, Proposal.Level, Builder.build()};
  return Judged;
}

// Acceptance must not depend on the ids seen: a reader that began from a
// checkpoint or from a peer's set has not seen them all. A record that was
// accepted can't be accepted again, as its base has passed.
void AcceptedHistory::refuseByBase(RecordResult &Judged) const {
  const auto Seen = SeenIds.find(Judged.RecordId);
  if (Seen != SeenIds.end()) {
    Judged.Code = ResultCode::RecordDuplicate;
    Judged.Detail = "first seen at " + std::to_string(Seen->second);
    return;
  }
  Judged.Code = ResultCode::PublishRaceLost;
  Judged.Winner = Current.Number;
  Judged.Detail = "based on " + std::to_string(Judged.Base) + ", but " +
                  std::to_string(Current.Number) + " is in force";
}

ResultCode AcceptedHistory::adopt(const AcceptedSet &Newer) {
  if (Newer.Level > CurrentRuleLevel)
    return ResultCode::RuleLevelUnknown;
  if (Newer.Number <= Current.Number)
    return ResultCode::VersionNotNewer;
  Current = Newer;
  moveTo(Newer.Number);
  return ResultCode::Ok;
}

ResultCode AcceptedHistory::restore(const Checkpoint &Later) {
  if (Later.Level > CurrentRuleLevel)
    return ResultCode::RuleLevelUnknown;
  if (Later.Offset <= LastOffset)
    return ResultCode::VersionNotNewer;
  if (Later.Number < Current.Number || Later.Number > Later.Offset)
    return ResultCode::CheckpointDamaged;
  if (Later.Number > Current.Number) {
    ObjectSetBuilder Builder;
    Builder.input("checkpoint " + std::to_string(Later.Offset), Later.SetText);
    if (!Builder.faults().empty())
      return ResultCode::CheckpointDamaged;
    Current = AcceptedSet{Later.Number, Later.Level, Builder.build()};
  }
  moveTo(Later.Offset);
  return ResultCode::Ok;
}

void AcceptedHistory::moveTo(Version Offset) {
  if (Offset <= LastOffset)
    return;
  LastOffset = Offset;
  // The record that could not be judged lies behind.
  Halted = false;
}

void AcceptedHistory::remember(const RecordResult &Judged) {
  Verdicts.push_back(Judged);
  if (!Judged.RecordId.empty())
    SeenIds.emplace(Judged.RecordId, Judged.At);
  if (Verdicts.size() > MaxVerdicts) {
    SeenIds.erase(Verdicts.front().RecordId);
    Verdicts.pop_front();
  }
}

} // namespace Config
