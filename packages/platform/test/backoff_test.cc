#include "trefoilbend/platform/backoff.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace trefoilbend::platform {

namespace {

using namespace std::chrono_literals;

std::chrono::milliseconds LongestOf(const int failures) {
  std::chrono::milliseconds longest{};
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Backoff backoff{{.first = 500ms, .most = 4s}, seed};
    std::chrono::milliseconds delay{};
    for (int i = 0; i < failures; ++i) {
      delay = backoff.Fail();
    }
    longest = std::max(longest, delay);
  }
  return longest;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_backoff)

BOOST_AUTO_TEST_CASE(doubles_its_bound_up_to_the_greatest) {
  BOOST_TEST((LongestOf(1) > 450ms && LongestOf(1) <= 500ms));
  BOOST_TEST((LongestOf(2) > 900ms && LongestOf(2) <= 1s));
  BOOST_TEST((LongestOf(20) > 3'600ms && LongestOf(20) <= 4s));
}

BOOST_AUTO_TEST_CASE(spreads_callers_that_failed_together) {
  int early = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Backoff backoff{{.first = 500ms, .most = 4s}, seed};
    early += backoff.Fail() < 250ms ? 1 : 0;
  }
  BOOST_TEST((early > 70 && early < 130));
}

BOOST_AUTO_TEST_CASE(begins_anew_after_a_success) {
  Backoff backoff{{.first = 500ms, .most = 4s}, 1};
  for (int i = 0; i < 10; ++i) {
    (void)backoff.Fail();
  }
  backoff.Reset();
  BOOST_TEST((backoff.Fail() <= 500ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::platform
