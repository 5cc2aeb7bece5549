#include "trefoilbend/forwarding/load_report.h"

#include <boost/test/unit_test.hpp>

namespace trefoilbend::forwarding {

BOOST_AUTO_TEST_SUITE(a_load_report)

BOOST_AUTO_TEST_CASE(is_read_from_its_json_form) {
  const auto report = ParseLoadReport(
      R"(JSON {"named_metrics":{"in_flight":3,"queued":2,"cold":1}})");
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->in_flight == 3U);
  BOOST_TEST(report->queued == 2U);
  BOOST_TEST(report->cold);
  BOOST_TEST(!report->draining);
}

BOOST_AUTO_TEST_CASE(is_ignored_when_malformed_or_impossible) {
  for (const char* text : {"", "JSON", "JSON {", "JSON []", "BIN abc",
                           R"(JSON {"named_metrics":7})",
                           R"(JSON {"named_metrics":{"in_flight":-1}})",
                           R"(JSON {"named_metrics":{"queued":1e9}})",
                           R"(JSON {"named_metrics":{"queued":"many"}})"}) {
    BOOST_TEST(!ParseLoadReport(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::forwarding
