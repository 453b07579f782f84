#pragma once

#include <cstdint>
#include <string_view>

namespace Common {

// The hash by which nodes compare sets and rank one another. It must be the
// same in all releases.
std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed = 0);

} // namespace Common
