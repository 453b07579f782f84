#include "Common/UniqueFd.h"

#include <unistd.h>

namespace Common {

void UniqueFd::reset() {
  if (Fd >= 0)
    ::close(Fd);
  Fd = -1;
}

} // namespace Common
