#pragma once

#include <string>
#include <string_view>

namespace Wire {

std::string compress(std::string_view Plain);
// Throws FrameMalformed for corrupt input or if the output exceeds Limit bytes.
std::string decompress(std::string_view Compressed, std::size_t Limit);

// Returns a delta that turns Base into Plain. It is small if the two are
// similar.
std::string makePatch(std::string_view Base, std::string_view Plain);
// Throws FrameMalformed for a corrupt patch or if the output exceeds Limit
// bytes. With a base other than the one that the patch was made for, it either
// throws or returns a wrong text.
std::string applyPatch(std::string_view Base, std::string_view Patch,
                       std::size_t Limit);

} // namespace Wire
