#include "Node/CallResponse.h"

#include <charconv>

namespace Node {

using Common::ResultCode;

namespace {

constexpr const char *CorrelationField = "x-correlation-id";
constexpr const char *DeadlineField = "x-deadline-ms";
constexpr const char *AttemptsField = "x-attempts-left";
constexpr const char *TenantKeyField = "x-api-key";
constexpr const char *TenantField = "x-tenant";

std::optional<std::int64_t> numberField(const Http::Headers &Fields,
                                        const std::string &Name) {
  const auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return std::nullopt;
  std::int64_t Value = 0;
  const char *End = Found->second.data() + Found->second.size();
  const auto [Rest, Failure] =
      std::from_chars(Found->second.data(), End, Value);
  if (Failure != std::errc() || Rest != End || Value < 0)
    return std::nullopt;
  return Value;
}

int statusOf(ResultCode Code) {
  constexpr int Unauthorized = 401;
  constexpr int NotFound = 404;
  constexpr int TooManyRequests = 429;
  constexpr int ServiceUnavailable = 503;
  constexpr int GatewayTimeout = 504;
  if (Code == ResultCode::NoRoute)
    return NotFound;
  if (Code == ResultCode::TenantKeyMissing ||
      Code == ResultCode::TenantKeyUnknown)
    return Unauthorized;
  if (Code == ResultCode::TenantQuotaSpent)
    return TooManyRequests;
  return Common::isNotRun(Code) ? ServiceUnavailable : GatewayTimeout;
}

} // namespace

void removeConnectionFields(Http::Headers &Fields) {
  for (const char *Name :
       {"connection", "keep-alive", "transfer-encoding", "content-length", "te",
        "trailer", "upgrade", "expect", "proxy-connection"})
    Fields.erase(Name);
}

std::string hostName(const std::string &Field) {
  std::string Name = Field.substr(0, Field.find(':'));
  for (char &Character : Name)
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
  return Name;
}

void moveContent(Http::Request &&Incoming, Routing::CallStart &Start) {
  Start.Method = std::move(Incoming.Method);
  Start.Path = std::move(Incoming.Path);
  Start.Target = std::move(Incoming.Target);
  Start.Body = std::move(Incoming.Body);
  Start.Fields = std::move(Incoming.Fields);
  Start.Caller = std::move(Incoming.Caller);
}

Http::KeepAliveRequest
NativeCallCodec::toServerRequest(const Routing::CallRequest &Request,
                                 const ServerRequestContext &Context) const {
  Http::KeepAliveRequest Result;
  Result.Method = Request.Method;
  Result.Target = Request.Target;
  Result.Fields = Request.Fields;
  Result.Fields[CorrelationField] = Request.CorrelationId;
  Result.Fields[AttemptsField] = std::to_string(Request.AttemptsLeft);
  Result.Fields[DeadlineField] = std::to_string(
      std::chrono::duration_cast<Common::Millis>(Context.Remaining).count());
  if (!Request.Tenant.empty())
    Result.Fields[TenantField] = Request.Tenant;
  Result.Body = Request.Body;
  return Result;
}

Http::Response toResponse(Routing::CallReply Reply, int Attempts,
                          const std::string &CorrelationId) {
  if (Reply.Result == ResultCode::Ok &&
      !Http::isFinalStatus(Reply.HttpStatus)) {
    Reply.Result = ResultCode::OutcomeUnknown;
    Reply.Fields.clear();
  }
  Http::Response Result;
  Result.Fields = std::move(Reply.Fields);
  removeConnectionFields(Result.Fields);
  Result.Fields.erase("host");
  const std::string Number =
      std::to_string(Common::resultCodeNumber(Reply.Result));
  if (Reply.Result == ResultCode::Ok) {
    Result.Status = Reply.HttpStatus;
    Result.Body = std::move(Reply.Body);
  } else {
    Result.Status = statusOf(Reply.Result);
    Result.Body = Number + " " +
                  std::string(Common::resultCodeName(Reply.Result)) +
                  (Common::isNotRun(Reply.Result) ? ": not run\n"
                                                  : ": outcome unknown\n");
  }
  Result.Fields["x-zinnia-result"] = Number;
  Result.Fields["x-zinnia-attempts"] = std::to_string(Attempts);
  Result.Fields[CorrelationField] = CorrelationId;
  if (!Reply.Server.empty())
    Result.Fields["x-zinnia-server"] = Reply.Server;
  return Result;
}

Routing::CallStart toCallStart(Routing::CallId Id, Http::Request Incoming,
                               const std::string &DefaultCorrelationId) {
  Routing::CallStart Result;
  Result.Call = Id;
  if (const auto Limit = numberField(Incoming.Fields, DeadlineField))
    Result.Timeout = Common::Millis(*Limit);
  if (const auto AttemptsLeft = numberField(Incoming.Fields, AttemptsField))
    Result.AttemptsLeft =
        static_cast<int>(std::min<std::int64_t>(*AttemptsLeft, 100));
  const auto CorrelationId = Incoming.Fields.find(CorrelationField);
  Result.CorrelationId = CorrelationId == Incoming.Fields.end()
                             ? DefaultCorrelationId
                             : CorrelationId->second;
  if (const auto Host = Incoming.Fields.find("host");
      Host != Incoming.Fields.end())
    Result.Host = hostName(Host->second);
  if (auto Key = Incoming.Fields.extract(TenantKeyField))
    Result.TenantKey = std::move(Key.mapped());
  Incoming.Fields.erase(TenantField);
  removeConnectionFields(Incoming.Fields);
  Incoming.Fields.erase("host");
  moveContent(std::move(Incoming), Result);
  return Result;
}

} // namespace Node
