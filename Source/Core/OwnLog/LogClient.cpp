#include "OwnLog/LogClient.h"

#include <charconv>
#include <sstream>

#include "Common/Error.h"

namespace OwnLog {

using Common::ResultCode;

namespace {

constexpr Common::Micros ReadSlack{2'000'000};
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
    Result.Detail = "status " + std::to_string(From.Reply.Status);
    return Result;
  }
  Result.At = headerNumber(From.Reply.Fields, "x-offset");
  if (Result.At <= 0)
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
  Result.Bytes = From.Reply.Body.size();
  Result.First = headerNumber(From.Reply.Fields, "x-first-offset");
  Result.Next = headerNumber(From.Reply.Fields, "x-next-offset");
  if (From.Reply.Status == HttpGone) {
    Result.Code = ResultCode::LogOffsetExpired;
  } else if (From.Reply.Status != HttpOk) {
    Result.Code = ResultCode::LogUnavailable;
    Result.Detail = "status " + std::to_string(From.Reply.Status);
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
                                   std::string Content, Common::Micros Limit,
                                   std::function<void(AppendResult)> OnDone) {
  Http::ClientRequest Asked;
  Asked.Method = "POST";
  Asked.Url = BaseUrl + "/v1/streams/" + Stream + "/records";
  Asked.Body = std::move(Content);
  Asked.Timeout = Limit;
  return Transport.send(
      std::move(Asked),
      [Done = std::move(OnDone)](const Http::ClientResult &Result) {
        Done(toAppendResult(Result));
      });
}

Http::TransferId LogClient::read(const std::string &Stream, Offset From,
                                 Common::Micros Wait,
                                 std::function<void(ReadResult)> OnDone) {
  Http::ClientRequest Asked;
  Asked.Url =
      BaseUrl + "/v1/streams/" + Stream +
      "/records?from=" + std::to_string(From) + "&wait-ms=" +
      std::to_string(std::chrono::duration_cast<Common::Millis>(Wait).count());
  Asked.Timeout = Wait + ReadSlack;
  return Transport.send(
      std::move(Asked),
      [Done = std::move(OnDone)](const Http::ClientResult &Result) {
        Done(toReadResult(Result));
      });
}

std::string formatRecords(const std::vector<LogRecord> &Records) {
  std::ostringstream Out;
  for (const LogRecord &Each : Records) {
    const auto Micros = std::chrono::duration_cast<Common::Micros>(
        Each.Appended.time_since_epoch());
    Out << Each.At << ' ' << Micros.count() << ' ' << Each.Content.size()
        << '\n'
        << Each.Content << '\n';
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
    In >> Record.At >> Micros >> Length;
    if (!In || In.get() != '\n' || Length > Body.size())
      throw Common::Error(ResultCode::LogMalformedAnswer, "record line");
    Record.Appended = Common::WallTime(Common::Micros(Micros));
    Record.Content.resize(Length);
    In.read(Record.Content.data(), static_cast<std::streamsize>(Length));
    if (!In || In.get() != '\n')
      throw Common::Error(ResultCode::LogMalformedAnswer, "record is cut off");
    Records.push_back(std::move(Record));
  }
  return Records;
}

} // namespace OwnLog
