#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/IniDocument.h"
#include "Config/Record.h"

namespace Config {

// What became of one record of the log.
struct RecordResult {
  Common::ResultCode Code = Common::ResultCode::Ok;
  std::string RecordId;
  Version At = 0;
  Version Base = 0;
  std::string Author;
  std::string Note;
  // The version that won when the race was lost.
  Version Winner = 0;
  std::string Detail;

  bool isAccepted() const { return Code == Common::ResultCode::Ok; }
};

// A set that every reader of the log agrees on.
struct AcceptedSet {
  Version Number = 0;
  RuleLevel Level = CurrentRuleLevel;
  ObjectSetPtr Set;
};

// The state of a history after the record at Offset.
struct Checkpoint {
  Version Offset = 0;
  Version Number = 0;
  RuleLevel Level = CurrentRuleLevel;
  // Canonical text of the set of version Number.
  std::string SetText;
};

// Folds the records of the log, in order, into the accepted history. The same
// records give the same result on every node, so no node has to be asked.
class AcceptedHistory {
public:
  // Judges the record at Offset. Offsets at or below the last one are ignored.
  std::optional<RecordResult> apply(Version Offset, const Record &Proposal);
  // A record that can't be decoded counts as refused.
  std::optional<RecordResult> applyMalformed(Version Offset,
                                             const std::string &Detail);

  // Takes over a set that another reader derived. Refused unless it is newer.
  Common::ResultCode adopt(const AcceptedSet &Newer);
  // Goes on from a checkpoint. Refused unless it stands for a later offset.
  Common::ResultCode restore(const Checkpoint &Later);

  const AcceptedSet &current() const { return Current; }
  Version lastOffset() const { return LastOffset; }
  // True once a record of an unknown rule level was met; the version stays.
  bool isHalted() const { return Halted; }
  const std::deque<RecordResult> &verdicts() const { return Verdicts; }

private:
  RecordResult judge(Version Offset, const Record &Proposal);
  void refuseByBase(RecordResult &Judged) const;
  void moveTo(Version Offset);
  void remember(const RecordResult &Judged);

  AcceptedSet Current;
  Version LastOffset = 0;
  bool Halted = false;
  std::deque<RecordResult> Verdicts;
  std::unordered_map<std::string, Version> SeenIds;
};

} // namespace Config
