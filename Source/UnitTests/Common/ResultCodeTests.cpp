#include <set>

#include <boost/test/unit_test.hpp>

#include "Common/ResultCode.h"

BOOST_AUTO_TEST_SUITE(ResultCodes)

BOOST_AUTO_TEST_CASE(TableIsOrderedAndUnique) {
  std::set<std::string_view> Names;
  int Previous = -1;
  for (const Common::ResultCodeInfo &Info : Common::resultCodeTable()) {
    BOOST_TEST(Common::resultCodeNumber(Info.Code) > Previous);
    Previous = Common::resultCodeNumber(Info.Code);
    BOOST_TEST(Names.insert(Info.Name).second);
    BOOST_TEST(!Info.Meaning.empty());
  }
}

BOOST_AUTO_TEST_CASE(NotRunAndUnknownOutcomeDoNotOverlap) {
  using Common::ResultCode;
  BOOST_TEST(Common::isNotRun(ResultCode::QueueFull));
  BOOST_TEST(!Common::isNotRun(ResultCode::ConnectionLost));
  BOOST_TEST(Common::isUnknownOutcome(ResultCode::ConnectionLost));
  BOOST_TEST(!Common::isUnknownOutcome(ResultCode::Ok));
}

BOOST_AUTO_TEST_SUITE_END()
