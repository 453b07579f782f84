#include "Once/Ranking.h"

#include <algorithm>
#include <cstdint>

namespace Once {

namespace {

// FNV-1a with a final mix: the same on every node, whatever its build.
std::uint64_t weightOf(const std::string &Place, const std::string &Node) {
  std::uint64_t Hash = 14695981039346656037ULL;
  for (const char Each : Place + '\0' + Node) {
    Hash ^= static_cast<unsigned char>(Each);
    Hash *= 1099511628211ULL;
  }
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdULL;
  return Hash ^ (Hash >> 33);
}

} // namespace

std::vector<std::string> rankNodes(const std::string &Place,
                                   std::vector<std::string> Nodes) {
  std::sort(Nodes.begin(), Nodes.end(),
            [&Place](const std::string &Left, const std::string &Right) {
              const std::uint64_t LeftWeight = weightOf(Place, Left);
              const std::uint64_t RightWeight = weightOf(Place, Right);
              return LeftWeight != RightWeight ? LeftWeight > RightWeight
                                               : Left < Right;
            });
  return Nodes;
}

} // namespace Once
