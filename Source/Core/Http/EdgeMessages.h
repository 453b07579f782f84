#pragma once

#include <memory>
#include <string>

#include <boost/beast/http/parser.hpp>

#include "Http/BoundedBody.h"
#include "Http/Message.h"

// How requests of callers are parsed, what they hold, and how responses are
// encoded.
namespace Http {

struct EdgeLimits;

constexpr int HeaderFieldsTooLarge = 431;
constexpr int RequestTimeout = 408;
constexpr int ServiceUnavailable = 503;

using EdgeParser = boost::beast::http::request_parser<BoundedBody>;

std::unique_ptr<EdgeParser> makeEdgeParser(const EdgeLimits &Limits);

// The memory that a request takes from its header section on until its response
// is sent: for its fields, and for its body, including what its fields
// announce. Only for parsers that have read the header section.
std::size_t memoryOfFields(const EdgeParser &Parser);
std::size_t memoryOfBody(const EdgeParser &Parser);

// Takes the request out of a parser that has finished.
Request takeRequest(EdgeParser &Parser);

int statusForError(const boost::beast::error_code &Error);

bool mayHaveBody(int Status);

// The response without its body, which may be large and isn't copied.
std::string encodeResponseHead(const Response &Reply, bool KeepAlive);

} // namespace Http
