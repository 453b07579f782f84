#pragma once

#include <string>
#include <string_view>

#include "Common/ResultCode.h"
#include "Common/Time.h"

namespace Once {

// The idempotency key of a call and the caller that issued it. Equal keys of
// different callers are distinct.
struct CallKey {
  std::string Caller;
  std::string Text;
  Common::WallTime IssuedAt;

  // The key as text that is unique among all callers. The length prefix keeps
  // the boundary between caller and key unambiguous.
  std::string scoped() const;
};

// The validity window of a key, relative to its time of issue.
struct KeyWindow {
  Common::Micros Length{600'000'000};
  // How far a caller's clock may be ahead.
  Common::Micros ClockSkew{5'000'000};

  bool covers(Common::WallTime IssuedAt, Common::WallTime At) const {
    return IssuedAt <= At + ClockSkew && At < IssuedAt + Length;
  }
};

// The result of parsing a key of the form "<unix-ms>-<opaque>". The opaque part
// consists of 1 to 64 letters, digits, periods, underscores and hyphens. Code
// is Ok, KeyMissing for an empty text, MalformedRequest or KeyExpired.
struct ParsedKey {
  Common::ResultCode Code = Common::ResultCode::Ok;
  CallKey Key;
};
ParsedKey parseKey(std::string Caller, std::string_view Text,
                   const KeyWindow &Window, Common::WallTime Now);

} // namespace Once
