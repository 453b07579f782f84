#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Common/ResultCode.h"
#include "Common/Time.h"
#include "Http/Client.h"

namespace OwnLog {

using Offset = std::int64_t;

struct LogRecord {
  Offset At = 0;
  Common::WallTime Appended;
  std::string Content;
};

struct AppendResult {
  // Ok, LogUnavailable (it did not land) or LogAnswerLost (it may have).
  Common::ResultCode Code = Common::ResultCode::Ok;
  Offset At = 0;
  std::string Detail;
};

struct ReadResult {
  // Ok, LogUnavailable, LogMalformedAnswer or LogOffsetExpired.
  Common::ResultCode Code = Common::ResultCode::Ok;
  std::vector<LogRecord> Records;
  // The oldest offset the log still keeps, and the next it will give.
  Offset First = 0;
  Offset Next = 0;
  // Length of the answer's body.
  std::size_t Bytes = 0;
  std::string Detail;
};

// Speaks to the platform's log over HTTP.
class LogClient {
public:
  LogClient(Http::Client &Transport, std::string BaseUrl)
      : Transport(Transport), BaseUrl(std::move(BaseUrl)) {}

  Http::TransferId append(const std::string &Stream, std::string Content,
                          Common::Micros Limit,
                          std::function<void(AppendResult)> OnDone);
  // Waits at the log, for at most Wait, until From exists.
  Http::TransferId read(const std::string &Stream, Offset From,
                        Common::Micros Wait,
                        std::function<void(ReadResult)> OnDone);
  void cancel(Http::TransferId Transfer) { Transport.cancel(Transfer); }

private:
  Http::Client &Transport;
  std::string BaseUrl;
};

// The text form of records in an answer of the log. Each is a line "offset
// micros length" and then that many bytes and a line end.
std::string formatRecords(const std::vector<LogRecord> &Records);
// Throws LogMalformedAnswer.
std::vector<LogRecord> parseRecords(const std::string &Body);

} // namespace OwnLog
