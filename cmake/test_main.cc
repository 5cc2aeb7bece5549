#define BOOST_TEST_MODULE trefoilbend
#include <boost/test/unit_test.hpp>
