#pragma once

#include <string>
#include <string_view>

namespace Wire {

std::string compress(std::string_view Plain);
// Throws FrameMalformed for damaged input or output over Limit bytes.
std::string decompress(std::string_view Packed, std::size_t Limit);

// What turns Base into Plain; small where the two have much in common.
std::string makePatch(std::string_view Base, std::string_view Plain);
// Throws FrameMalformed for damaged input or output over Limit bytes. With
// another base than the one it was made for, the result is wrong or refused.
std::string applyPatch(std::string_view Base, std::string_view Patch,
                       std::size_t Limit);

} // namespace Wire
