#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "OwnLog/LogClient.h"

namespace StandIns {

// The streams of the log stand-in. Records are kept in memory for Retention.
class LogStore {
public:
  explicit LogStore(Common::Duration Retention) : Retention(Retention) {}

  OwnLog::Offset append(const std::string &Stream, std::string Content,
                        Common::WallTime Now);
  // Removes the records that are older than Retention.
  void expire(Common::WallTime Now);

  // Up to Limit records, starting at offset From or at the first one kept.
  std::vector<OwnLog::LogRecord>
  read(const std::string &Stream, OwnLog::Offset From, std::size_t Limit) const;
  // The offset of the first record kept, or of the next one if there is none.
  OwnLog::Offset first(const std::string &Stream) const;
  // The offset that the next record will get.
  OwnLog::Offset next(const std::string &Stream) const;

private:
  struct StreamState {
    std::deque<OwnLog::LogRecord> Records;
    OwnLog::Offset Next = 1;
  };

  Common::Duration Retention;
  std::map<std::string, StreamState> Streams;
};

} // namespace StandIns
