#include "Common/Memory.h"

#include <malloc.h>

namespace Common {

void returnLargeBlocks() {
  constexpr int LargeBlockBytes = 256 << 10;
  // Small blocks come and go with every request, so some of their memory is
  // kept instead of being asked for again each time.
  constexpr int KeptBytes = 4 << 20;
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, KeptBytes);
}

} // namespace Common
