#include "Common/FileWatch.h"

#include <sys/stat.h>

namespace Common {

FileWatch::FileWatch(std::string File) : File(std::move(File)) {
  Last = stamp();
}

bool FileWatch::hasChanged() {
  std::string Now = stamp();
  if (Now.empty() || Now == Last)
    return false;
  Last = std::move(Now);
  return true;
}

std::string FileWatch::stamp() const {
  struct stat Seen = {};
  if (::stat(File.c_str(), &Seen) < 0)
    return {};
  return std::to_string(Seen.st_ino) + " " + std::to_string(Seen.st_size) +
         " " + std::to_string(Seen.st_mtim.tv_sec) + " " +
         std::to_string(Seen.st_mtim.tv_nsec);
}

} // namespace Common
