#include "trefoilbend/operations/audit_filter.h"

#include <boost/test/unit_test.hpp>

namespace trefoilbend::operations {

namespace {

inventory::Revised Entry() {
  return {.revision = core::Revision{3},
          .change_id = "abc",
          .who = "ana for luis",
          .why = "power work",
          .at = "2026-12-04T10:00:00Z",
          .by = core::InstanceName{"entry-1"},
          .changes = {
              {.before = std::nullopt,
               .after = inventory::Outage{core::DataCentreName{"xela-1"}}}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_filter_of_the_audit_trail)

BOOST_AUTO_TEST_CASE(takes_everything_when_empty) {
  BOOST_TEST(AuditFilter{}.Matches(Entry()));
}

BOOST_AUTO_TEST_CASE(takes_what_meets_every_member) {
  const AuditFilter filter{.who = "ana",
                           .object = "outage/xela-1",
                           .by = "entry-1",
                           .change_id = "abc",
                           .since = "2026-12-04",
                           .until = "2026-12-04"};
  BOOST_TEST(filter.Matches(Entry()));
}

BOOST_AUTO_TEST_CASE(leaves_out_what_misses_one) {
  BOOST_TEST(!AuditFilter{.who = "luis"}.Matches(Entry()));
  BOOST_TEST(!AuditFilter{.object = "xela-2"}.Matches(Entry()));
  BOOST_TEST(!AuditFilter{.by = "entry-2"}.Matches(Entry()));
  BOOST_TEST(!AuditFilter{.change_id = "abd"}.Matches(Entry()));
  BOOST_TEST(!AuditFilter{.since = "2026-12-04T11"}.Matches(Entry()));
  BOOST_TEST(!AuditFilter{.until = "2026-12-03"}.Matches(Entry()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::operations
