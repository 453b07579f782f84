#pragma once

#include <string>
#include <string_view>

#include "Common/ResultCode.h"
#include "Common/Time.h"

namespace Once {

// The idempotency key of a call, with the caller it belongs to: keys of
// different callers never meet.
struct CallKey {
  std::string Caller;
  std::string Text;
  Common::WallTime IssuedAt;

  // Unique among all callers; the length keeps the two parts apart.
  std::string scoped() const;
};

// The times between which a key can be used, seen from its time of issue.
struct KeyWindow {
  Common::Micros Length{600'000'000};
  // How far a caller's clock may run ahead.
  Common::Micros ClockSkew{5'000'000};

  bool covers(Common::WallTime IssuedAt, Common::WallTime At) const {
    return IssuedAt <= At + ClockSkew && At < IssuedAt + Length;
  }
};

// A key has the form "<unix-ms>-<opaque>" with at most 64 letters, digits,
// points, underlines and hyphens after the first hyphen. Code is Ok,
// KeyMissing for an empty text, MalformedRequest or KeyExpired.
struct ParsedKey {
  Common::ResultCode Code = Common::ResultCode::Ok;
  CallKey Key;
};
ParsedKey parseKey(std::string Caller, std::string_view Text,
                   const KeyWindow &Window, Common::WallTime Now);

} // namespace Once
