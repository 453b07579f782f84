#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Common {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;

// Parses a nonnegative integer with a unit: us, ms, s, m, h or d. Returns
// nullopt for any other text and on overflow.
std::optional<Micros> parseDuration(std::string_view Text);

// Formats with the largest unit that represents the value exactly.
std::string formatDuration(Micros Value);

} // namespace Common
