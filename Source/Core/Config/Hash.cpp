#include "Config/Hash.h"

#include <xxhash.h>

namespace Config {

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace Config
