#include "Common/MachineLimits.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

#include <sys/resource.h>
#include <unistd.h>

namespace Common {

namespace {

std::string readFile(const std::filesystem::path &File) {
  std::ifstream In(File);
  return {std::istreambuf_iterator<char>(In), {}};
}

// The soft limit on a resource, or Otherwise if there is none.
std::size_t resourceLimit(__rlimit_resource Resource, std::size_t Otherwise) {
  rlimit Limit = {};
  if (::getrlimit(Resource, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return Otherwise;
  return std::min<std::size_t>(Limit.rlim_cur, Otherwise);
}

} // namespace

std::optional<std::size_t> controlGroupMemory(const std::filesystem::path &Root,
                                              const std::string &Membership) {
  // Version 2 has a single hierarchy, which is listed as number 0.
  constexpr std::string_view Prefix = "0::/";
  std::optional<std::size_t> Least;
  std::istringstream Lines(Membership);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with(Prefix))
      continue;
    std::filesystem::path Group(Line.substr(Prefix.size()));
    for (;;) {
      std::size_t Bytes = 0;
      // A group without a limit says "max".
      if (std::istringstream(readFile(Root / Group / "memory.max")) >> Bytes)
        Least = std::min(Least.value_or(Bytes), Bytes);
      if (Group.empty())
        break;
      Group = Group.parent_path();
    }
  }
  return Least;
}

std::size_t usableMemory() {
  const std::size_t OfMachine =
      static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) *
      static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  const std::size_t OfGroup =
      controlGroupMemory("/sys/fs/cgroup", readFile("/proc/self/cgroup"))
          .value_or(OfMachine);
  return resourceLimit(
      RLIMIT_AS, resourceLimit(RLIMIT_DATA, std::min(OfMachine, OfGroup)));
}

std::size_t usableDescriptors() {
  constexpr std::size_t Most = 65'536;
  return resourceLimit(RLIMIT_NOFILE, Most);
}

} // namespace Common
