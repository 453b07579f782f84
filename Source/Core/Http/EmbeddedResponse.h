#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Http {

// How a response shows which request it belongs to.
struct EchoMark {
  // Name of the field that echoes a value of the request, in lower case.
  std::string Field;
  // The values of the requests whose responses may be there.
  std::vector<std::string> Values;
};

// Whether Text is the beginning of a response, as far as it goes.
bool mayBeginResponse(std::string_view Text);

// Whether the header section of another response begins inside Body. Following
// holds the bytes that arrived after the body. A header section counts if it is
// marked within its first MaxHeaderBytes.
//
// A server that breaks off a response and goes on with another one fills the
// body up to its length with bytes that do not belong to it.
bool containsResponse(std::string_view Body, std::string_view Following,
                      const EchoMark &Mark, std::size_t MaxHeaderBytes);

} // namespace Http
