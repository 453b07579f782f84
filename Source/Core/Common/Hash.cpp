#include "Common/Hash.h"

#include <xxhash.h>

namespace Common {

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace Common
