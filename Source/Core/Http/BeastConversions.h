#pragma once

#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "Http/Message.h"

// Conversions between the types of Boost.Beast and those of this library.
namespace Http {

inline std::string_view toView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

inline std::string toLower(std::string_view Text) {
  std::string Result(Text);
  for (char &Character : Result)
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
  return Result;
}

// Joins the values of fields with the same name by commas, as HTTP allows.
inline Headers toHeaders(const boost::beast::http::fields &Fields) {
  Headers Result;
  for (const auto &Field : Fields) {
    const auto [Position, IsNew] = Result.emplace(
        toLower(toView(Field.name_string())), toView(Field.value()));
    if (!IsNew)
      Position->second.append(", ").append(toView(Field.value()));
  }
  return Result;
}

inline void appendField(std::string &Out, std::string_view Name,
                        std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace Http
