#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Config/AcceptedHistory.h"
#include "Operator/SyncHttp.h"

namespace Operator {

// The URL of the log and the streams that hold the configuration.
struct LogLocation {
  std::string Url;
  std::string Stream;
  std::string CheckpointStream;
};

// A record in the log and the result of its validation.
struct ValidatedRecord {
  Config::RecordResult Outcome;
  // Empty when the record can't be decoded.
  std::string SetText;
};

// Reads the records of the log and keeps the sets that they contain.
class HistoryReader {
public:
  HistoryReader(SyncHttp &Transport, LogLocation Location);

  // Reads to the end of the log. If records have expired, starts from the
  // newest checkpoint. Throws LogUnavailable, HistoryGap or RuleLevelUnknown.
  void catchUp();
  // Long-polls the log for up to Wait and adds the records it returns.
  void readMore(Common::Micros Wait);

  const Config::AcceptedHistory &history() const { return History; }
  const std::map<Config::Version, ValidatedRecord> &records() const {
    return Records;
  }
  // The first record in the log with this id, or null.
  const ValidatedRecord *findById(const std::string &Id) const;
  // The canonical text of an accepted version. Throws VersionUnknown.
  const std::string &textOf(Config::Version Version) const;
  bool hasTextOf(Config::Version Version) const {
    return Texts.contains(Version);
  }

private:
  void addRecord(const OwnLog::LogRecord &LogRecord);
  void loadCheckpoint(Config::Version FirstOffset);

  SyncHttp &Transport;
  LogLocation Location;
  Config::AcceptedHistory History;
  OwnLog::Offset LogEnd = 0;
  std::map<Config::Version, ValidatedRecord> Records;
  // The canonical texts of accepted versions. Version 0 is the empty set.
  std::map<Config::Version, std::string> Texts;
};

} // namespace Operator
