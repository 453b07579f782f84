#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "OwnLog/LogClient.h"

namespace StandIns {

// The streams of the platform's log, kept in memory for a limited time.
class LogStore {
public:
  explicit LogStore(Common::Duration Retention) : Retention(Retention) {}

  OwnLog::Offset append(const std::string &Stream, std::string Content,
                        Common::WallTime Now);
  void expire(Common::WallTime Now);

  // At most Limit records from From on.
  std::vector<OwnLog::LogRecord>
  read(const std::string &Stream, OwnLog::Offset From, std::size_t Limit) const;
  OwnLog::Offset first(const std::string &Stream) const;
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
