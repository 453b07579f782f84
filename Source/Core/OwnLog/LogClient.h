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
  Offset RecordOffset = 0;
  Common::WallTime AppendedAt;
  std::string Content;
};

struct AppendResult {
  // Ok, LogUnavailable (the record was not appended) or LogAnswerLost (it may
  // have been appended).
  Common::ResultCode Code = Common::ResultCode::Ok;
  Offset RecordOffset = 0;
  std::string Detail;
};

struct ReadResult {
  // Ok, LogUnavailable, LogMalformedAnswer or LogOffsetExpired.
  Common::ResultCode Code = Common::ResultCode::Ok;
  std::vector<LogRecord> Records;
  // The oldest offset that the log still keeps, and the offset that it will
  // assign to the next record.
  Offset FirstOffset = 0;
  Offset NextOffset = 0;
  // The size of the response body.
  std::size_t BodyBytes = 0;
  std::string Detail;
};

// An HTTP client of the platform's log.
class LogClient {
public:
  LogClient(Http::Client &Transport, std::string BaseUrl)
      : Transport(Transport), BaseUrl(std::move(BaseUrl)) {}

  Http::TransferId append(const std::string &Stream, std::string Content,
                          Common::Micros Timeout,
                          std::function<void(AppendResult)> OnDone);
  // Reads records from offset From on. Long-polls for at most Wait if the log
  // has no record at From yet.
  Http::TransferId read(const std::string &Stream, Offset From,
                        Common::Micros Wait,
                        std::function<void(ReadResult)> OnDone);
  void cancel(Http::TransferId Transfer) { Transport.cancel(Transfer); }

private:
  Http::Client &Transport;
  std::string BaseUrl;
};

// Formats records as the body of a response of the log. Each record is a line
// "OFFSET MICROS LENGTH" followed by LENGTH bytes and a newline.
std::string formatRecords(const std::vector<LogRecord> &Records);
// Throws LogMalformedAnswer if Body cannot be parsed.
std::vector<LogRecord> parseRecords(const std::string &Body);

} // namespace OwnLog
