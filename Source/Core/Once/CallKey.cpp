#include "Once/CallKey.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Once {

using Common::ResultCode;

namespace {

constexpr std::size_t MaxOpaqueLength = 64;
// A time in the year 2255. Much later times do not fit into WallTime.
constexpr std::int64_t MaxIssueMillis = 9'000'000'000'000;

bool isOpaqueChar(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) ||
         Character == '.' || Character == '_' || Character == '-';
}

} // namespace

std::string CallKey::scoped() const {
  return std::to_string(Caller.size()) + ':' + Caller + Text;
}

ParsedKey parseKey(std::string Caller, std::string_view Text,
                   const KeyWindow &Window, Common::WallTime Now) {
  ParsedKey Result;
  if (Text.empty()) {
    Result.Code = ResultCode::KeyMissing;
    return Result;
  }
  Result.Code = ResultCode::MalformedRequest;
  std::int64_t Millis = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Millis);
  if (Failure != std::errc() || Rest == End || *Rest != '-' || Millis < 0 ||
      Millis > MaxIssueMillis)
    return Result;
  const std::string_view Opaque(Rest + 1,
                                static_cast<std::size_t>(End - Rest - 1));
  if (Opaque.empty() || Opaque.size() > MaxOpaqueLength ||
      !std::all_of(Opaque.begin(), Opaque.end(), isOpaqueChar))
    return Result;
  Result.Key = {std::move(Caller), std::string(Text),
                Common::WallTime(Common::Millis(Millis))};
  if (Result.Key.IssuedAt > Now + Window.ClockSkew)
    return Result;
  Result.Code = Window.covers(Result.Key.IssuedAt, Now)
                    ? ResultCode::Ok
                    : ResultCode::KeyExpired;
  return Result;
}

} // namespace Once
