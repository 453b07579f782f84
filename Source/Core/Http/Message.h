#pragma once

#include <map>
#include <string>

namespace Http {

// Header fields by name. Names are in lower case.
using Headers = std::map<std::string, std::string>;

struct Request {
  std::string Method;
  // Path and query exactly as the caller sent them.
  std::string Target;
  std::string Path;
  Headers Fields;
  std::string Body;
  // The IP address of the caller.
  std::string Caller;
};

// Whether the status is in one of the five classes of HTTP.
constexpr bool isStatus(int Status) { return Status >= 100 && Status <= 599; }

// Whether a response with the status ends its request.
constexpr bool isFinalStatus(int Status) {
  constexpr int FirstFinalStatus = 200;
  return isStatus(Status) && Status >= FirstFinalStatus;
}

struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;
};

} // namespace Http
