#include "Http/EmbeddedResponse.h"

#include <algorithm>
#include <cctype>

#include <boost/beast/core/string.hpp>

namespace Http {

namespace {

constexpr std::string_view Protocol = "HTTP/1.";
// Bounds the work for a body that consists of such lines.
constexpr int MaxCandidates = 16;

bool isDigit(char Character) {
  return std::isdigit(static_cast<unsigned char>(Character)) != 0;
}

// Whether Text begins with a status line such as "HTTP/1.1 200". A request line
// ends with the version, so it does not count.
bool startsWithStatusLine(std::string_view Text) {
  constexpr std::size_t StatusOffset = 9;
  constexpr std::size_t StatusEnd = 12;
  return Text.size() >= StatusEnd && Text.starts_with(Protocol) &&
         isDigit(Text[StatusOffset - 2]) && Text[StatusOffset - 1] == ' ' &&
         std::all_of(Text.begin() + StatusOffset, Text.begin() + StatusEnd,
                     isDigit);
}

// Whether a field line of Text has one of the values of the mark.
bool isMarked(std::string_view Text, const EchoMark &Mark) {
  std::size_t LineEnd = Text.find("\r\n");
  while (LineEnd != std::string_view::npos) {
    Text.remove_prefix(LineEnd + 2);
    LineEnd = Text.find("\r\n");
    const std::string_view Line = Text.substr(0, LineEnd);
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos ||
        !boost::beast::iequals({Line.data(), Colon}, Mark.Field))
      continue;
    const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    return Value != std::string_view::npos &&
           std::find(Mark.Values.begin(), Mark.Values.end(),
                     Line.substr(Value)) != Mark.Values.end();
  }
  return false;
}

} // namespace

bool mayBeginResponse(std::string_view Text) {
  const std::size_t Compared = std::min(Text.size(), Protocol.size());
  return Text.substr(0, Compared) == Protocol.substr(0, Compared);
}

bool containsResponse(std::string_view Body, std::string_view Following,
                      const EchoMark &Mark, std::size_t MaxHeaderBytes) {
  int Candidates = 0;
  for (std::size_t Begin = Body.find(Protocol.front());
       Begin != std::string_view::npos && Candidates < MaxCandidates;
       Begin = Body.find(Protocol.front(), Begin + 1)) {
    const std::string_view InBody = Body.substr(Begin, MaxHeaderBytes);
    if (!mayBeginResponse(InBody))
      continue;
    std::string Header(InBody);
    Header.append(Following.substr(0, MaxHeaderBytes - InBody.size()));
    ++Candidates;
    if (startsWithStatusLine(Header) && isMarked(Header, Mark))
      return true;
  }
  return false;
}

} // namespace Http
