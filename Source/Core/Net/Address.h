#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Net {

// Whether the text is a numeric IPv4 address. Host names are not looked up, as
// a lookup would block the event loop.
bool isIpAddress(const std::string &Text);

// The port, or none if the text is not a number from 1 to 65,535.
std::optional<int> parsePort(std::string_view Text);

// Whether the text is "IP:port".
bool isIpAndPort(const std::string &Text);

} // namespace Net
