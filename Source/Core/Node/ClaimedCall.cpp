#include "Node/ClaimedCall.h"

#include <algorithm>

#include "Common/Hash.h"

namespace Node {

namespace {

constexpr const char *KeyField = "idempotency-key";
constexpr const char *CallerField = "idempotency-caller";
constexpr const char *RecordedField = "x-zinnia-recorded";
constexpr std::size_t MaxCallerLength = 64;

} // namespace

std::optional<Common::Micros>
claimedCallLimit(const Config::ObjectSet *Set,
                 const Routing::CallStart &Start) {
  const Config::Route *Route =
      Set ? Set->findRoute(Start.Host, Start.Method, Start.Path) : nullptr;
  if (!Route)
    return std::nullopt;
  const Config::RequestKind &Kind = Set->kinds().at(Route->Kind);
  if (!Kind.NeedsKey)
    return std::nullopt;
  return std::min(Start.Timeout.value_or(Kind.Deadline), Kind.Deadline);
}

Once::ParsedKey keyOf(const Routing::CallStart &Start,
                      const Once::KeyWindow &Window, Common::WallTime Now) {
  const auto Key = Start.Fields.find(KeyField);
  const auto CallerName = Start.Fields.find(CallerField);
  // The prefix keeps caller names and IP addresses from colliding.
  std::string Caller = CallerName == Start.Fields.end()
                           ? "a" + Start.Caller
                           : "n" + CallerName->second;
  Once::ParsedKey Result =
      Once::parseKey(std::move(Caller),
                     Key == Start.Fields.end() ? "" : Key->second, Window, Now);
  if (Result.Code == Common::ResultCode::Ok &&
      Result.Key.Caller.size() > MaxCallerLength)
    Result.Code = Common::ResultCode::MalformedRequest;
  return Result;
}

std::uint64_t fingerprintOf(const Routing::CallStart &Start) {
  // The lengths keep requests with different boundaries between the parts
  // distinct.
  return Common::hashOf(std::to_string(Start.Method.size()) + ' ' +
                        std::to_string(Start.Target.size()) + ' ' +
                        Start.Method + Start.Target + Start.Body.str());
}

Once::Outcome toOutcome(const Routing::CallReply &Reply,
                        std::size_t BodyLimit) {
  Once::Outcome Result;
  Result.Result = Reply.Result;
  Result.HttpStatus = Reply.HttpStatus;
  std::size_t Bytes = Reply.Body.size();
  for (const auto &[Name, Value] : Reply.Fields)
    Bytes += Name.size() + Value.size();
  Result.WithoutBody = Bytes > BodyLimit;
  if (!Result.WithoutBody) {
    Result.Fields = Reply.Fields;
    Result.Body = Reply.Body;
  }
  return Result;
}

Routing::CallReply toReply(const Once::Outcome &Recorded) {
  Routing::CallReply Result;
  Result.Result = Common::isUnknownOutcome(Recorded.Result)
                      ? Common::ResultCode::DuplicateOfClaimed
                      : Recorded.Result;
  Result.HttpStatus = Recorded.HttpStatus;
  Result.Fields = Recorded.Fields;
  Result.Body = Recorded.Body;
  Result.Fields[RecordedField] =
      Recorded.WithoutBody ? "without-body" : "whole";
  return Result;
}

} // namespace Node
