#include <boost/test/unit_test.hpp>

#include "Http/Escaping.h"

BOOST_AUTO_TEST_SUITE(Escaping)

BOOST_AUTO_TEST_CASE(DecodesPercentEncodedBytes) {
  BOOST_TEST(Http::unescapeUrl("server%20a%2Fb") == "server a/b");
  BOOST_TEST(Http::unescapeUrl("plain-1") == "plain-1");
  BOOST_TEST(Http::unescapeUrl("") == "");
  BOOST_TEST(Http::unescapeUrl("50%") == "50%");
}

BOOST_AUTO_TEST_SUITE_END()
