#pragma once

#include <string>

namespace Common {

// Tells when a file has been written anew. It is asked, and holds no
// descriptor.
class FileWatch {
public:
  explicit FileWatch(std::string File);

  // Whether the file differs from the last time it was asked. A file that
  // cannot be seen just now has not changed.
  bool hasChanged();

private:
  // What changes with each write of the file; empty when it cannot be seen.
  std::string stamp() const;

  std::string File;
  std::string Last;
};

} // namespace Common
