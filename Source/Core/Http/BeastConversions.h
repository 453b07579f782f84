#pragma once

#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "Http/Message.h"

// Conversions between the parser's types and ours.
namespace Http {

inline std::string_view toView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

inline std::string toLower(std::string_view Text) {
  std::string Result(Text);
  for (char &Each : Result)
    if (Each >= 'A' && Each <= 'Z')
      Each = static_cast<char>(Each - 'A' + 'a');
  return Result;
}

// Fields of one name are joined as HTTP allows.
inline Headers toHeaders(const boost::beast::http::fields &Fields) {
  Headers Result;
  for (const auto &Each : Fields) {
    const auto [Place, IsNew] = Result.emplace(
        toLower(toView(Each.name_string())), toView(Each.value()));
    if (!IsNew)
      Place->second.append(", ").append(toView(Each.value()));
  }
  return Result;
}

inline void appendField(std::string &Out, std::string_view Name,
                        std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace Http
