#include "Net/Address.h"

#include <charconv>

#include <arpa/inet.h>

namespace Net {

namespace {

constexpr int MaxPort = 65'535;

} // namespace

bool isIpAddress(const std::string &Text) {
  in_addr Parsed = {};
  return ::inet_pton(AF_INET, Text.c_str(), &Parsed) == 1;
}

std::optional<int> parsePort(std::string_view Text) {
  int Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Port);
  if (Error != std::errc() || Rest != End || Port < 1 || Port > MaxPort)
    return std::nullopt;
  return Port;
}

bool isIpAndPort(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  return Colon != std::string::npos && isIpAddress(Text.substr(0, Colon)) &&
         parsePort(std::string_view(Text).substr(Colon + 1)).has_value();
}

} // namespace Net
