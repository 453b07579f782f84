#pragma once

#include <cstddef>
#include <string>

namespace Common {

// The memory that a string has allocated, which may be far more than its size.
std::size_t allocatedBytes(const std::string &Text);

// Gives back the memory of a string that has shrunk. Strings keep it otherwise.
void releaseSpareMemory(std::string &Text);

// Makes the allocator return the memory of large blocks to the machine as soon
// as they are freed. By default it keeps more of it the larger the blocks were
// that a process has freed, so that one large body would raise the memory of
// the process for ever. Called once, before any other thread starts.
void returnLargeBlocks();

} // namespace Common
