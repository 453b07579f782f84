#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Platform/LogClient.h"

namespace StandIns {

// The streams of the platform's log, kept in memory for a limited time.
class LogStore {
public:
  explicit LogStore(Common::Duration Retention) : Retention(Retention) {}

  Platform::Offset append(const std::string &Stream, std::string Content,
                          Common::WallTime Now);
  void expire(Common::WallTime Now);

  // At most Limit records from From on.
  std::vector<Platform::LogRecord> read(const std::string &Stream,
                                        Platform::Offset From,
                                        std::size_t Limit) const;
  Platform::Offset first(const std::string &Stream) const;
  Platform::Offset next(const std::string &Stream) const;

private:
  struct StreamState {
    std::deque<Platform::LogRecord> Records;
    Platform::Offset Next = 1;
  };

  Common::Duration Retention;
  std::map<std::string, StreamState> Streams;
};

} // namespace StandIns
