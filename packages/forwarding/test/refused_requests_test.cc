#include "trefoilbend/forwarding/refused_requests.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <string>

namespace trefoilbend::forwarding {

namespace {

struct Fixture {
  RefusedRequests refused;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_connection_to_a_target, Fixture)

BOOST_AUTO_TEST_CASE(that_has_refused_nothing_carries_any_request) {
  BOOST_TEST(!refused.Contains(DigestOf("r-1")));
  BOOST_TEST(!refused.Contains(DigestOf("")));
  BOOST_TEST(refused.AllowMore());
}

BOOST_AUTO_TEST_SUITE(that_has_refused_a_request)

/** REFUSED: the copy of a refusal was believed of a later attempt. */
BOOST_AUTO_TEST_CASE(knows_it_for_as_long_as_it_is_open) {
  refused.Add("r-1");
  for (int others = 0; others < 100; ++others) {
    refused.Add("r-2");
  }
  BOOST_TEST(refused.Contains(DigestOf("r-1")));
}

BOOST_AUTO_TEST_CASE(carries_other_requests) {
  refused.Add("r-1");
  BOOST_TEST(!refused.Contains(DigestOf("r-2")));
  BOOST_TEST(refused.AllowMore());
}

/** Its copy could be taken for the answer to any of them. */
BOOST_AUTO_TEST_CASE(carries_nothing_more_if_the_refusal_names_no_request) {
  refused.Add("");
  BOOST_TEST(refused.Contains(DigestOf("r-2")));
  BOOST_TEST(!refused.AllowMore());
}

/** The memory of one connection is bounded, and nothing is forgotten. */
BOOST_AUTO_TEST_CASE(carries_nothing_more_after_many_refusals) {
  for (std::size_t one = 0; one < RefusedRequests::kMost; ++one) {
    BOOST_TEST(refused.AllowMore());
    refused.Add(std::to_string(one));
  }
  BOOST_TEST(!refused.AllowMore());
  BOOST_TEST(refused.Contains(DigestOf("0")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::forwarding
