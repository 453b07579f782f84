#pragma once

#include <string>
#include <string_view>

namespace Wire {

std::string compress(std::string_view Plain);
// Throws FrameMalformed for damaged input or output over Limit bytes.
std::string decompress(std::string_view Packed, std::size_t Limit);

} // namespace Wire
