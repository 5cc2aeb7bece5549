#define BOOST_TEST_MODULE TREFOILBEND_TEST_MODULE
#include <boost/test/unit_test.hpp>
