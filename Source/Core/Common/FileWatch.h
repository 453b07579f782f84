#pragma once

#include <optional>
#include <string>

#include "Common/Time.h"

namespace Common {

// Detects by polling whether a file was rewritten. It holds no descriptor.
class FileWatch {
public:
  explicit FileWatch(std::string File);

  // Whether the file may have changed since the construction or the last call
  // that returned true. A file that cannot be examined counts as unchanged.
  bool hasChanged(Common::SteadyTime Now);

private:
  // Inode, size and modification time of the file. At least one of them changes
  // with each write, unless two writes follow each other within the resolution
  // of the modification time. Empty if stat fails.
  std::string fileSignature() const;

  std::string File;
  std::string LastSignature;
  // Set after a change: from then on, another write changes the signature.
  std::optional<Common::SteadyTime> SettledAt;
};

} // namespace Common
