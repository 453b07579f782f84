#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

#include "Node/NodeSettings.h"

BOOST_AUTO_TEST_SUITE(SettingsOfNodes)

namespace {

// Lowers a resource limit of this process until the end of the test.
class LoweredLimit {
public:
  LoweredLimit(__rlimit_resource Resource, rlim_t Value) : Resource(Resource) {
    BOOST_REQUIRE(::getrlimit(Resource, &Before) == 0);
    const rlimit Lowered = {Value, Before.rlim_max};
    BOOST_REQUIRE(::setrlimit(Resource, &Lowered) == 0);
  }
  LoweredLimit(const LoweredLimit &) = delete;
  LoweredLimit &operator=(const LoweredLimit &) = delete;
  ~LoweredLimit() { ::setrlimit(Resource, &Before); }

private:
  __rlimit_resource Resource;
  rlimit Before = {};
};

Node::NodeSettings read(const std::string &FurtherLines) {
  Common::SettingsBuilder Builder;
  Builder.rules(Node::nodeSettingRules())
      .input("node.ini", "[node]\nname = n\ndata-centre = d\n"
                         "address = 127.0.0.1\n" +
                             FurtherLines +
                             "[members]\nport = 7000\n"
                             "[log]\nurl = http://127.0.0.1:7001\n");
  return Node::readNodeSettings(Builder.build());
}

} // namespace

// A process on a small machine took the default of 512 MB for its memory.
BOOST_AUTO_TEST_CASE(MemoryLimitIsAtMostWhatTheProcessCanUse) {
  constexpr std::size_t Usable = 300'000'000;
  const LoweredLimit Data(RLIMIT_DATA, Usable);
  BOOST_TEST(read("").MemoryLimit == Usable);
  BOOST_TEST(read("memory-limit = 88\n").MemoryLimit == 88'000'000U);
}

BOOST_AUTO_TEST_CASE(DescriptorLimitIsAtMostWhatTheProcessMayOpen) {
  constexpr std::size_t Usable = 200;
  const LoweredLimit Descriptors(RLIMIT_NOFILE, Usable);
  BOOST_TEST(read("").DescriptorLimit == Usable);
  BOOST_TEST(read("descriptor-limit = 100\n").DescriptorLimit == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
