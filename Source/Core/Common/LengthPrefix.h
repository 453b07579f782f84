#pragma once

#include <cstdint>
#include <string>
#include <string_view>

// Numbers as they stand in front of frames and records: big-endian.
namespace Common {

constexpr std::size_t LengthPrefixBytes = 4;

std::string encodeLengthPrefix(std::size_t Length);

// Decodes a number of up to eight bytes.
std::uint64_t decodeBigEndian(std::string_view Bytes);

} // namespace Common
