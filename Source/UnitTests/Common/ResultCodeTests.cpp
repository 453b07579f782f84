#include <set>

#include <boost/test/unit_test.hpp>

#include "Common/ResultCode.h"

BOOST_AUTO_TEST_SUITE(ResultCodes)

BOOST_AUTO_TEST_CASE(TableIsOrderedAndUnique) {
  std::set<std::string_view> Names;
  int Last = -1;
  for (const Common::ResultCodeInfo &Each : Common::resultCodeTable()) {
    BOOST_TEST(Common::resultCodeNumber(Each.Code) > Last);
    Last = Common::resultCodeNumber(Each.Code);
    BOOST_TEST(Names.insert(Each.Name).second);
    BOOST_TEST(!Each.Meaning.empty());
  }
}

BOOST_AUTO_TEST_CASE(NotRunAndUnknownDoNotOverlap) {
  using Common::ResultCode;
  BOOST_TEST(Common::isNotRun(ResultCode::QueueFull));
  BOOST_TEST(!Common::isNotRun(ResultCode::ConnectionLost));
  BOOST_TEST(Common::isUnknownOutcome(ResultCode::ConnectionLost));
  BOOST_TEST(!Common::isUnknownOutcome(ResultCode::Ok));
}

BOOST_AUTO_TEST_SUITE_END()
