#include <cstdlib>
#include <fstream>

#include <boost/test/unit_test.hpp>

#include "Common/MachineLimits.h"

BOOST_AUTO_TEST_SUITE(MachineLimits)

namespace {

// A folder with the limits of control groups.
struct Groups {
  std::filesystem::path Root;

  Groups() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "groups-XXXXXX").string();
    BOOST_REQUIRE(::mkdtemp(Template.data()));
    Root = Template;
  }
  ~Groups() { std::filesystem::remove_all(Root); }

  void limit(const std::string &Group, const std::string &Text) const {
    std::filesystem::create_directories(Root / Group);
    std::ofstream(Root / Group / "memory.max") << Text << "\n";
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(TakesTheLeastLimitOfAGroupAndThoseAboveIt, Groups) {
  limit("vm", "300000000");
  limit("vm/node", "max");
  BOOST_TEST(Common::controlGroupMemory(Root, "0::/vm/node\n").value() ==
             300'000'000U);
  limit("vm/node", "110000000");
  BOOST_TEST(Common::controlGroupMemory(Root, "0::/vm/node\n").value() ==
             110'000'000U);
  BOOST_TEST(Common::controlGroupMemory(Root, "0::/vm\n").value() ==
             300'000'000U);
}

BOOST_FIXTURE_TEST_CASE(FindsNoLimitWhereNoneIsStated, Groups) {
  limit("vm", "max");
  for (const char *Membership :
       {"", "0::/", "0::/vm\n", "0::/other/deep\n", "4:memory:/vm\n"})
    BOOST_TEST(!Common::controlGroupMemory(Root, Membership));
}

BOOST_AUTO_TEST_CASE(KnowsWhatThisProcessCanUse) {
  BOOST_TEST(Common::usableMemory() > 0U);
  BOOST_TEST(Common::usableDescriptors() >= 16U);
}

BOOST_AUTO_TEST_SUITE_END()
