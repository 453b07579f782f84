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

// Parses a whole number with a unit: us, ms, s, m, h or d.
std::optional<Micros> parseDuration(std::string_view Text);

// Formats with the largest unit that loses nothing.
std::string formatDuration(Micros Value);

} // namespace Common
