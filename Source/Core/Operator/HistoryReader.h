#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Config/AcceptedHistory.h"
#include "Operator/SyncHttp.h"

namespace Operator {

// Which streams of which log hold the configuration.
struct LogPlace {
  std::string Url;
  std::string Stream;
  std::string CheckpointStream;
};

// A record that the log still keeps, with what became of it.
struct JudgedRecord {
  Config::RecordResult Judged;
  // Empty when the record can't be decoded.
  std::string SetText;
};

// Reads the history of the log and keeps the sets in it.
class HistoryReader {
public:
  HistoryReader(SyncHttp &Transport, LogPlace Place);

  // Reads up to the end. When records have expired it begins with the newest
  // checkpoint. Throws LogUnavailable, HistoryGap or RuleLevelUnknown.
  void catchUp();
  // Waits for at most Wait until the log has more, and reads that.
  void readMore(Common::Micros Wait);

  const Config::AcceptedHistory &history() const { return History; }
  const std::map<Config::Version, JudgedRecord> &records() const {
    return Records;
  }
  // The record with this id that the log has first, or null.
  const JudgedRecord *findById(const std::string &Id) const;
  // Canonical text of an accepted version; throws VersionUnknown.
  const std::string &textOf(Config::Version Number) const;
  bool knows(Config::Version Number) const { return Texts.contains(Number); }

private:
  void take(const OwnLog::LogRecord &Taken);
  void loadCheckpoint(Config::Version ConfigFirst);

  SyncHttp &Transport;
  LogPlace Place;
  Config::AcceptedHistory History;
  OwnLog::Offset LogEnd = 0;
  std::map<Config::Version, JudgedRecord> Records;
  // Of accepted versions. The empty set is version 0.
  std::map<Config::Version, std::string> Texts;
};

} // namespace Operator
