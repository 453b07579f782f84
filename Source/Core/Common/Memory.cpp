#include "Common/Memory.h"

#include <malloc.h>

namespace Common {

std::size_t allocatedBytes(const std::string &Text) {
  // A short string is kept in the object itself.
  static const std::size_t InlineBytes = std::string().capacity();
  return Text.capacity() > InlineBytes ? Text.capacity() : 0;
}

void releaseSpareMemory(std::string &Text) {
  constexpr std::size_t KeptBytes = 4 << 10;
  if (Text.capacity() - Text.size() > KeptBytes)
    Text.shrink_to_fit();
}

void returnLargeBlocks() {
  constexpr int LargeBlockBytes = 256 << 10;
  // Small blocks come and go with every request, so some of their memory is
  // kept instead of being asked for again each time.
  constexpr int KeptBytes = 4 << 20;
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, KeptBytes);
}

} // namespace Common
