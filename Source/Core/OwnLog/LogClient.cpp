#include "OwnLog/LogClient.h"

#include <charconv>
#include <sstream>

#include "Common/Error.h"

namespace OwnLog {

using Common::ResultCode;

namespace {

// The time that a read may take beyond its long-poll wait.
constexpr Common::Micros ReadMargin{2'000'000};
constexpr int HttpOk = 200;
constexpr int HttpGone = 410;

Offset headerNumber(const Http::Headers &Fields, const std::string &Name) {
  const auto Found = Fields.find(Name);
  Offset Value = 0;
  if (Found != Fields.end())
    std::from_chars(Found->second.data(),
                    Found->second.data() + Found->second.size(), Value);
  return Value;
}

AppendResult toAppendResult(const Http::ClientResult &From) {
  AppendResult Result;
  Result.Detail = From.Failure;
  if (!From.Answered) {
    Result.Code = From.MayHaveRun ? ResultCode::LogAnswerLost
                                  : ResultCode::LogUnavailable;
    return Result;
  }
  if (From.Reply.Status != HttpOk) {
    Result.Code = ResultCode::LogUnavailable;
    Result.Detail = "HTTP status " + std::to_string(From.Reply.Status);
    return Result;
  }
  Result.RecordOffset = headerNumber(From.Reply.Fields, "x-offset");
  if (Result.RecordOffset <= 0)
    Result.Code = ResultCode::LogAnswerLost;
  return Result;
}

ReadResult toReadResult(const Http::ClientResult &From) {
  ReadResult Result;
  Result.Detail = From.Failure;
  if (!From.Answered) {
    Result.Code = ResultCode::LogUnavailable;
    return Result;
  }
  Result.BodyBytes = From.Reply.Body.size();
  Result.FirstOffset = headerNumber(From.Reply.Fields, "x-first-offset");
  Result.NextOffset = headerNumber(From.Reply.Fields, "x-next-offset");
  if (From.Reply.Status == HttpGone) {
    Result.Code = ResultCode::LogOffsetExpired;
  } else if (From.Reply.Status != HttpOk) {
    Result.Code = ResultCode::LogUnavailable;
    Result.Detail = "HTTP status " + std::to_string(From.Reply.Status);
  } else {
    try {
      Result.Records = parseRecords(From.Reply.Body);
    } catch (const Common::Error &Failure) {
      Result.Code = Failure.code();
      Result.Detail = Failure.what();
    }
  }
  return Result;
}

} // namespace

Http::TransferId LogClient::append(const std::string &Stream,
                                   std::string Content, Common::Micros Timeout,
                                   std::function<void(AppendResult)> OnDone) {
  Http::ClientRequest Request;
  Request.Method = "POST";
  Request.Url = BaseUrl + "/v1/streams/" + Stream + "/records";
  Request.Body = std::move(Content);
  Request.Timeout = Timeout;
  return Transport.send(
      std::move(Request),
      [Callback = std::move(OnDone)](const Http::ClientResult &Result) {
        Callback(toAppendResult(Result));
      });
}

Http::TransferId LogClient::read(const std::string &Stream, Offset From,
                                 Common::Micros Wait,
                                 std::function<void(ReadResult)> OnDone) {
  Http::ClientRequest Request;
  Request.Url =
      BaseUrl + "/v1/streams/" + Stream +
      "/records?from=" + std::to_string(From) + "&wait-ms=" +
      std::to_string(std::chrono::duration_cast<Common::Millis>(Wait).count());
  Request.Timeout = Wait + ReadMargin;
  return Transport.send(
      std::move(Request),
      [Callback = std::move(OnDone)](const Http::ClientResult &Result) {
        Callback(toReadResult(Result));
      });
}

std::string formatRecords(const std::vector<LogRecord> &Records) {
  std::ostringstream Out;
  for (const LogRecord &Record : Records) {
    const auto Micros = std::chrono::duration_cast<Common::Micros>(
        Record.AppendedAt.time_since_epoch());
    Out << Record.RecordOffset << ' ' << Micros.count() << ' '
        << Record.Content.size() << '\n'
        << Record.Content << '\n';
  }
  return Out.str();
}

std::vector<LogRecord> parseRecords(const std::string &Body) {
  std::vector<LogRecord> Records;
  std::istringstream In(Body);
  while (In.peek() != std::istringstream::traits_type::eof()) {
    LogRecord Record;
    std::int64_t Micros = 0;
    std::size_t Length = 0;
    In >> Record.RecordOffset >> Micros >> Length;
    if (!In || In.get() != '\n' || Length > Body.size())
      throw Common::Error(ResultCode::LogMalformedAnswer,
                          "malformed header line of a record");
    Record.AppendedAt = Common::WallTime(Common::Micros(Micros));
    Record.Content.resize(Length);
    In.read(Record.Content.data(), static_cast<std::streamsize>(Length));
    if (!In || In.get() != '\n')
      throw Common::Error(ResultCode::LogMalformedAnswer, "truncated record");
    Records.push_back(std::move(Record));
  }
  return Records;
}

} // namespace OwnLog
