#include "Config/AcceptedHistory.h"

#include "Common/Error.h"
#include "Config/ObjectSetBuilder.h"

namespace Config {

using Common::ResultCode;

namespace {

constexpr std::size_t MaxVerdicts = 1024;

} // namespace

std::optional<Verdict> AcceptedHistory::apply(Version Offset,
                                              const Record &Proposal) {
  if (Offset <= LastOffset || Halted)
    return std::nullopt;
  const Verdict Judged = judge(Offset, Proposal);
  if (Judged.Code == ResultCode::RuleLevelUnknown)
    Halted = true;
  else
    LastOffset = Offset;
  remember(Judged);
  return Judged;
}

std::optional<Verdict>
AcceptedHistory::applyMalformed(Version Offset, const std::string &Detail) {
  if (Offset <= LastOffset || Halted)
    return std::nullopt;
  LastOffset = Offset;
  Verdict Judged;
  Judged.Code = ResultCode::RecordMalformed;
  Judged.At = Offset;
  Judged.Detail = Detail;
  remember(Judged);
  return Judged;
}

Verdict AcceptedHistory::judge(Version Offset, const Record &Proposal) {
  Verdict Judged;
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
  const auto Seen = SeenIds.find(Proposal.Id);
  if (Seen != SeenIds.end()) {
    Judged.Code = ResultCode::RecordDuplicate;
    Judged.Detail = "first seen at " + std::to_string(Seen->second);
    return Judged;
  }
  SeenIds.emplace(Proposal.Id, Offset);
  if (Proposal.Base != Current.Number) {
    Judged.Code = ResultCode::PublishRaceLost;
    Judged.Winner = Current.Number;
    Judged.Detail = "based on " + std::to_string(Proposal.Base) + ", but " +
                    std::to_string(Current.Number) + " is in force";
    return Judged;
  }
  ObjectSetBuilder Builder;
  Builder.input("record " + std::to_string(Offset), Proposal.SetText);
  if (!Builder.faults().empty()) {
    Judged.Code = ResultCode::PublishSetInvalid;
    Judged.Detail = Builder.faults().front().text();
    return Judged;
  }
  Current = Accepted{Offset, Proposal.Level, Builder.build()};
  return Judged;
}

ResultCode AcceptedHistory::adopt(const Accepted &Newer) {
  if (Newer.Level > CurrentRuleLevel)
    return ResultCode::RuleLevelUnknown;
  if (Newer.Number <= Current.Number)
    return ResultCode::VersionNotNewer;
  Current = Newer;
  if (Newer.Number > LastOffset)
    LastOffset = Newer.Number;
  return ResultCode::Ok;
}

void AcceptedHistory::remember(const Verdict &Judged) {
  Verdicts.push_back(Judged);
  if (Verdicts.size() > MaxVerdicts) {
    SeenIds.erase(Verdicts.front().RecordId);
    Verdicts.pop_front();
  }
}

} // namespace Config
