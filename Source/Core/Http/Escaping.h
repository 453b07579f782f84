#pragma once

#include <string>

namespace Http {

// Decodes the percent-encoded bytes of a part of a URL.
std::string unescapeUrl(const std::string &Text);

} // namespace Http
