#include "Config/AcceptedHistory.h"

#include "Common/Error.h"
#include "Config/ObjectSetBuilder.h"

namespace Config {

using Common::ResultCode;

namespace {

constexpr std::size_t MaxResults = 1024;

} // namespace

std::optional<RecordResult> AcceptedHistory::apply(Version Offset,
                                                   const Record &Proposal) {
  if (Offset <= LastOffset || Halted)
    return std::nullopt;
  const RecordResult Result = validate(Offset, Proposal);
  if (Result.Code == ResultCode::RuleLevelUnknown)
    Halted = true;
  else
    LastOffset = Offset;
  storeResult(Result);
  return Result;
}

std::optional<RecordResult>
AcceptedHistory::applyMalformed(Version Offset, const std::string &Detail) {
  if (Offset <= LastOffset || Halted)
    return std::nullopt;
  LastOffset = Offset;
  RecordResult Result;
  Result.Code = ResultCode::RecordMalformed;
  Result.Offset = Offset;
  Result.Detail = Detail;
  storeResult(Result);
  return Result;
}

RecordResult AcceptedHistory::validate(Version Offset, const Record &Proposal) {
  RecordResult Result;
  Result.RecordId = Proposal.Id;
  Result.Offset = Offset;
  Result.Base = Proposal.Base;
  Result.Author = Proposal.Author;
  Result.Note = Proposal.Note;
  if (Proposal.Level > CurrentRuleLevel) {
    Result.Code = ResultCode::RuleLevelUnknown;
    Result.Detail = "unsupported rule level " + std::to_string(Proposal.Level);
    return Result;
  }
  if (Proposal.Base != Current.SetVersion) {
    rejectStaleBase(Result);
    return Result;
  }
  ObjectSetBuilder Builder;
  Builder.input("record " + std::to_string(Offset), Proposal.SetText);
  if (!Builder.faults().empty()) {
    Result.Code = ResultCode::PublishSetInvalid;
    Result.Detail = Builder.faults().front().text();
    return Result;
  }
  Current = AcceptedSet{Offset, Proposal.Level, Builder.build()};
  return Result;
}

// Whether a record is accepted must not depend on SeenIds, because a reader
// that started from a checkpoint or a peer's set has not seen all ids. An
// accepted record can't be accepted again, since its base is no longer the
// current version. The ids only decide which reason is reported.
void AcceptedHistory::rejectStaleBase(RecordResult &Result) const {
  const auto Seen = SeenIds.find(Result.RecordId);
  if (Seen != SeenIds.end()) {
    Result.Code = ResultCode::RecordDuplicate;
    Result.Detail = "first seen at offset " + std::to_string(Seen->second);
    return;
  }
  Result.Code = ResultCode::PublishRaceLost;
  Result.Winner = Current.SetVersion;
  Result.Detail = "based on version " + std::to_string(Result.Base) +
                  ", but version " + std::to_string(Current.SetVersion) +
                  " is in force";
}

ResultCode AcceptedHistory::adopt(const AcceptedSet &Newer) {
  if (Newer.Level > CurrentRuleLevel)
    return ResultCode::RuleLevelUnknown;
  if (Newer.SetVersion <= Current.SetVersion)
    return ResultCode::VersionNotNewer;
  Current = Newer;
  advanceTo(Newer.SetVersion);
  return ResultCode::Ok;
}

ResultCode AcceptedHistory::restore(const Checkpoint &Saved) {
  if (Saved.Level > CurrentRuleLevel)
    return ResultCode::RuleLevelUnknown;
  if (Saved.Offset <= LastOffset)
    return ResultCode::VersionNotNewer;
  if (Saved.SetVersion < Current.SetVersion || Saved.SetVersion > Saved.Offset)
    return ResultCode::CheckpointDamaged;
  if (Saved.SetVersion > Current.SetVersion) {
    ObjectSetBuilder Builder;
    Builder.input("checkpoint " + std::to_string(Saved.Offset), Saved.SetText);
    if (!Builder.faults().empty())
      return ResultCode::CheckpointDamaged;
    Current = AcceptedSet{Saved.SetVersion, Saved.Level, Builder.build()};
  }
  advanceTo(Saved.Offset);
  return ResultCode::Ok;
}

void AcceptedHistory::advanceTo(Version Offset) {
  if (Offset <= LastOffset)
    return;
  LastOffset = Offset;
  // The record that halted the history is no longer ahead of LastOffset.
  Halted = false;
}

void AcceptedHistory::storeResult(const RecordResult &Result) {
  Results.push_back(Result);
  if (!Result.RecordId.empty())
    SeenIds.emplace(Result.RecordId, Result.Offset);
  if (Results.size() > MaxResults) {
    SeenIds.erase(Results.front().RecordId);
    Results.pop_front();
  }
}

} // namespace Config
