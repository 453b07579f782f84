#include "Http/EdgeMessages.h"

#include <algorithm>
#include <iterator>

#include <boost/beast/http/status.hpp>

#include "Http/BeastConversions.h"
#include "Http/EdgeServer.h"

namespace Http {

namespace {

namespace beast = boost::beast;

// The nodes and strings of one field in a map, besides long names and values.
constexpr std::size_t FieldBytes = 128;
// The fields of a call are kept by the caller side, by the server side and in
// the request to the server.
constexpr std::size_t CopiesOfFields = 3;
// The body is kept once, and once more while it grows or is being sent. Room
// that a string has not filled takes no memory.
constexpr std::size_t CopiesOfBody = 2;
// The parser and the call, without fields and body.
constexpr std::size_t RequestBytes = 4 << 10;

} // namespace

std::unique_ptr<EdgeParser> makeEdgeParser(const EdgeLimits &Limits) {
  auto Result = std::make_unique<EdgeParser>();
  Result->eager(true);
  Result->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Result->body_limit(Limits.BodyBytes);
  Result->get().body().Limit = Limits.BodyBytes;
  return Result;
}

std::size_t memoryOfFields(const EdgeParser &Parser) {
  std::size_t Bytes = Parser.get().target().size();
  for (const auto &Field : Parser.get().base())
    Bytes += FieldBytes + Field.name_string().size() + Field.value().size();
  return RequestBytes + CopiesOfFields * Bytes;
}

std::size_t memoryOfBody(const EdgeParser &Parser) {
  const std::size_t Announced =
      static_cast<std::size_t>(Parser.content_length().value_or(0));
  return CopiesOfBody * std::max(Announced, Parser.get().body().Text.size());
}

Request takeRequest(EdgeParser &Parser) {
  auto Message = Parser.release();
  Request Result;
  Result.Method = std::string(toView(Message.method_string()));
  Result.Target = std::string(toView(Message.target()));
  Result.Path = Result.Target.substr(0, Result.Target.find('?'));
  Result.Fields = toHeaders(Message);
  Result.Body = std::move(Message.body().Text);
  return Result;
}

int statusForError(const beast::error_code &Error) {
  constexpr int BadRequest = 400;
  constexpr int ContentTooLarge = 413;
  if (Error == beast::http::error::body_limit)
    return ContentTooLarge;
  if (Error == beast::http::error::header_limit)
    return HeaderFieldsTooLarge;
  return BadRequest;
}

bool mayHaveBody(int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status != NoContent && Status != NotModified;
}

std::string encodeResponseHead(const Response &Reply, bool KeepAlive) {
  std::string Out = "HTTP/1.1 " + std::to_string(Reply.Status) + " ";
  Out.append(toView(beast::http::obsolete_reason(
      static_cast<beast::http::status>(Reply.Status))));
  Out.append("\r\n");
  for (const auto &[Name, Value] : Reply.Fields)
    if (Name != "content-length" && Name != "connection")
      appendField(Out, Name, Value);
  if (mayHaveBody(Reply.Status))
    appendField(Out, "content-length", std::to_string(Reply.Body.size()));
  if (!KeepAlive)
    appendField(Out, "connection", "close");
  Out.append("\r\n");
  return Out;
}

} // namespace Http
