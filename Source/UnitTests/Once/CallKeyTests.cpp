#include <boost/test/unit_test.hpp>

#include "Once/CallKey.h"

BOOST_AUTO_TEST_SUITE(CallKeys)

using Common::ResultCode;

namespace {

ResultCode codeOf(const std::string &Text) {
  const Common::WallTime Now{Common::Millis(1'000'000)};
  const Once::KeyWindow Window{Common::Millis(10'000), Common::Millis(1000)};
  return Once::parseKey("c", Text, Window, Now).Code;
}

} // namespace

BOOST_AUTO_TEST_CASE(validatesFormatAndTimeOfIssue) {
  BOOST_TEST((codeOf("") == ResultCode::KeyMissing));
  BOOST_TEST((codeOf("999000-a.b_c-1") == ResultCode::Ok));
  BOOST_TEST((codeOf("990001-a") == ResultCode::Ok));
  BOOST_TEST((codeOf("990000-a") == ResultCode::KeyExpired));
  BOOST_TEST((codeOf("1001000-a") == ResultCode::Ok));
  for (const std::string Malformed :
       {"1001001-a", "a", "999000", "999000-", "-1-a", "999000-a b",
        "99999999999999999999-a", "9999999999999999-a"})
    BOOST_TEST((codeOf(Malformed) == ResultCode::MalformedRequest), Malformed);
  BOOST_TEST((codeOf("999000-" + std::string(65, 'a')) ==
              ResultCode::MalformedRequest));
}

BOOST_AUTO_TEST_CASE(keysOfDifferentCallersAreDistinct) {
  const Once::CallKey One{"ab", "1-x", {}};
  const Once::CallKey Other{"a", "b1-x", {}};
  BOOST_TEST(One.scoped() != Other.scoped());
}

BOOST_AUTO_TEST_SUITE_END()
