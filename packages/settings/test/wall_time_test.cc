#include "trefoilbend/settings/wall_time.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace trefoilbend::settings {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_wall_clock_time)

BOOST_AUTO_TEST_CASE(is_read_with_its_zone) {
  const auto six = ParseWallTime("2026-12-04T18:00:00Z");
  BOOST_REQUIRE(six.has_value());
  BOOST_TEST((*six == std::chrono::sys_days{2026y / 12 / 4} + 18h));
  BOOST_TEST((ParseWallTime("2026-12-04T12:00:00-06:00") == six));
  BOOST_TEST((ParseWallTime("2026-12-04T22:30:00+04:30") == six));
}

BOOST_AUTO_TEST_CASE(is_refused_without_a_zone_or_if_it_does_not_exist) {
  for (const char* text :
       {"", "2026-12-04T18:00:00", "2026-12-04", "2026-02-30T18:00:00Z",
        "2026-12-04T25:00:00Z", "2026-12-04T18:00:00Z ", "tomorrow", "45m",
        "2026-12-04T18:00:00+0600", "2026-12-04T18:00:00+06:60"}) {
    BOOST_TEST(!ParseWallTime(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::settings
