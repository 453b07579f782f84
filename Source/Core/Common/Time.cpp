#include "Common/Time.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace Common {

namespace {

struct Unit {
  std::string_view Suffix;
  std::int64_t Microseconds;
};

// Ordered from the largest to the smallest unit, as formatDuration requires.
constexpr std::array<Unit, 6> Units = {{
    {"d", 86'400'000'000},
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

} // namespace

std::optional<Micros> parseDuration(std::string_view Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Count);
  if (Failure != std::errc() || Count < 0)
    return std::nullopt;

  const std::string_view Suffix(Rest, static_cast<std::size_t>(End - Rest));
  for (const Unit &Candidate : Units) {
    if (Candidate.Suffix != Suffix)
      continue;
    if (Count >
        std::numeric_limits<std::int64_t>::max() / Candidate.Microseconds)
      return std::nullopt;
    return Micros(Count * Candidate.Microseconds);
  }
  return std::nullopt;
}

std::string formatDuration(Micros Value) {
  for (const Unit &Candidate : Units)
    if (Value.count() != 0 && Value.count() % Candidate.Microseconds == 0)
      return std::to_string(Value.count() / Candidate.Microseconds) +
             std::string(Candidate.Suffix);
  return std::to_string(Value.count()) + "us";
}

} // namespace Common
