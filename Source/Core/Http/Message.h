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

struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;
};

} // namespace Http
