#include "trefoilbend/registry/watch_pause.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

namespace trefoilbend::registry {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_fleet_that_watches_a_table_under_constant_change)

BOOST_AUTO_TEST_CASE(asks_the_store_no_more_often_when_it_grows) {
  constexpr double kMostCallsPerSecond = 130;
  for (const std::size_t entries : {1U, 14U, 19U, 60U, 120U, 130U}) {
    const std::chrono::duration<double> pause = WatchPause(entries);
    BOOST_TEST(static_cast<double>(entries) / pause.count() <=
               kMostCallsPerSecond);
  }
}

BOOST_AUTO_TEST_CASE(hears_of_changes_within_half_of_the_time_that_they_have) {
  for (const std::size_t entries : {1U, 19U, 130U, 1'300U}) {
    BOOST_TEST((WatchPause(entries) <= 1s));
  }
}

BOOST_AUTO_TEST_CASE(is_not_slowed_down_while_it_is_small) {
  BOOST_TEST((WatchPause(1) == kLeastWatchPause));
  BOOST_TEST((WatchPause(25) == kLeastWatchPause));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::registry
