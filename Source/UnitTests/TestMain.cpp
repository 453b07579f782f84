#define BOOST_TEST_MODULE zinniawheel
#include <boost/test/unit_test.hpp>
