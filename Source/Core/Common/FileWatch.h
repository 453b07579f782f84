#pragma once

#include <string>

namespace Common {

// Detects by polling whether a file was rewritten. It holds no descriptor.
class FileWatch {
public:
  explicit FileWatch(std::string File);

  // Whether the file has changed since the construction or the last call that
  // returned true. A file that cannot be examined counts as unchanged.
  bool hasChanged();

private:
  // Inode, size and modification time of the file. At least one of them changes
  // with each write. Empty if stat fails.
  std::string fileSignature() const;

  std::string File;
  std::string LastSignature;
};

} // namespace Common
