#include "Common/FileWatch.h"

#include <sys/stat.h>

namespace Common {

FileWatch::FileWatch(std::string File) : File(std::move(File)) {
  LastSignature = fileSignature();
}

bool FileWatch::hasChanged() {
  std::string Signature = fileSignature();
  if (Signature.empty() || Signature == LastSignature)
    return false;
  LastSignature = std::move(Signature);
  return true;
}

std::string FileWatch::fileSignature() const {
  struct stat Status = {};
  if (::stat(File.c_str(), &Status) < 0)
    return {};
  return std::to_string(Status.st_ino) + " " + std::to_string(Status.st_size) +
         " " + std::to_string(Status.st_mtim.tv_sec) + " " +
         std::to_string(Status.st_mtim.tv_nsec);
}

} // namespace Common
