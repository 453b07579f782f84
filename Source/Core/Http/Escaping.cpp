#include "Http/Escaping.h"

#include <memory>

#include <curl/curl.h>

namespace Http {

std::string unescapeUrl(const std::string &Text) {
  int Length = 0;
  const std::unique_ptr<char, decltype(&curl_free)> Decoded(
      curl_easy_unescape(nullptr, Text.data(), static_cast<int>(Text.size()),
                         &Length),
      curl_free);
  return Decoded ? std::string(Decoded.get(), static_cast<std::size_t>(Length))
                 : Text;
}

} // namespace Http
