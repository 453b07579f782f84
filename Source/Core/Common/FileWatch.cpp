#include "Common/FileWatch.h"

#include <sys/stat.h>

namespace Common {

namespace {

// More than the resolution of modification times in common file systems.
constexpr Millis SettleTime{20};

} // namespace

FileWatch::FileWatch(std::string File) : File(std::move(File)) {
  LastSignature = fileSignature();
}

bool FileWatch::hasChanged(SteadyTime Now) {
  std::string Signature = fileSignature();
  if (!Signature.empty() && Signature != LastSignature) {
    LastSignature = std::move(Signature);
    SettledAt = Now + SettleTime;
    return true;
  }
  // The file may have been written again without a change of the signature.
  if (!SettledAt || Now < *SettledAt)
    return false;
  SettledAt.reset();
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
