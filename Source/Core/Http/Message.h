#pragma once

#include <map>
#include <string>

namespace Http {

// Header names are kept in lower case.
using Headers = std::map<std::string, std::string>;

struct Request {
  std::string Method;
  // Path and query as they were sent.
  std::string Target;
  std::string Path;
  Headers Fields;
  std::string Body;
  // The caller's IP number.
  std::string Caller;
};

struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;
};

} // namespace Http
