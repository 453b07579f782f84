#pragma once

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>

namespace Common {

// The memory that this process may take, in bytes: that of the machine, or less
// if its control group or its resource limits say so.
std::size_t usableMemory();

// The number of descriptors that this process may have open.
std::size_t usableDescriptors();

// The least memory limit of a control group and those above it. Root is where
// the groups are mounted, Membership the content of /proc/self/cgroup. Empty if
// none of them states a limit.
std::optional<std::size_t> controlGroupMemory(const std::filesystem::path &Root,
                                              const std::string &Membership);

} // namespace Common
