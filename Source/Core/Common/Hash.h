#pragma once

#include <cstdint>
#include <string_view>

namespace Common {

// The hash that nodes use to compare configuration sets and to rank each other.
// It must not change between releases.
std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed = 0);

} // namespace Common
