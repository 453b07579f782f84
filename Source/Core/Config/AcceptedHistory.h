#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/IniDocument.h"
#include "Config/Record.h"

namespace Config {

// The outcome of validating one log record.
struct RecordResult {
  Common::ResultCode Code = Common::ResultCode::Ok;
  std::string RecordId;
  Version Offset = 0;
  Version Base = 0;
  std::string Author;
  std::string Note;
  // The version in force when the record was rejected with PublishRaceLost.
  Version Winner = 0;
  std::string Detail;

  bool isAccepted() const { return Code == Common::ResultCode::Ok; }
};

// An accepted set. Every reader of the log derives the same one.
struct AcceptedSet {
  Version SetVersion = 0;
  RuleLevel Level = CurrentRuleLevel;
  ObjectSetPtr Set;
};

// The state of the history after applying the record at Offset.
struct Checkpoint {
  Version Offset = 0;
  Version SetVersion = 0;
  RuleLevel Level = CurrentRuleLevel;
  // Canonical text of the set with version SetVersion.
  std::string SetText;
};

// Applies log records in order to derive the accepted version. This is
// deterministic: every node reaches the same result from the same records
// without coordination.
class AcceptedHistory {
public:
  // Validates the record at Offset and adopts its set if it is accepted.
  // Returns nothing for an offset that was already applied, or while halted.
  std::optional<RecordResult> apply(Version Offset, const Record &Proposal);
  // Marks a record that can't be decoded as rejected.
  std::optional<RecordResult> applyMalformed(Version Offset,
                                             const std::string &Detail);

  // Adopts a set that another reader derived. Fails with VersionNotNewer unless
  // its version is higher than the current one.
  Common::ResultCode adopt(const AcceptedSet &Newer);
  // Resumes from a checkpoint. Fails with VersionNotNewer unless its offset is
  // higher than the last applied one.
  Common::ResultCode restore(const Checkpoint &Saved);

  const AcceptedSet &current() const { return Current; }
  Version lastOffset() const { return LastOffset; }
  // True after a record with an unsupported rule level. The current version
  // stays in force, and no further records are applied until a set or
  // checkpoint from a later offset is adopted.
  bool isHalted() const { return Halted; }
  const std::deque<RecordResult> &results() const { return Results; }

private:
  RecordResult validate(Version Offset, const Record &Proposal);
  void rejectStaleBase(RecordResult &Result) const;
  void advanceTo(Version Offset);
  void storeResult(const RecordResult &Result);

  AcceptedSet Current;
  Version LastOffset = 0;
  bool Halted = false;
  std::deque<RecordResult> Results;
  std::unordered_map<std::string, Version> SeenIds;
};

} // namespace Config
