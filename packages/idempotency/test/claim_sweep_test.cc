#include "trefoilbend/idempotency/claim_sweep.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "trefoilbend/idempotency/claim.h"

namespace trefoilbend::idempotency {

namespace {

using namespace std::chrono_literals;

struct Fixture {
  /** A claim of an entry that may be long gone. */
  [[nodiscard]] platform::Row Claimed(const std::string& key,
                                      const IssueTime issued) const {
    const auto claim =
        MakeClaim("keys/stock/" + key, {.entry = core::InstanceName{"gone"},
                                        .incarnation = core::Incarnation{1},
                                        .issued = issued});
    return {.key = claim.writes.front().key,
            .value = *claim.writes.front().value,
            .position = platform::Position::WithoutEra(7)};
  }

  IssueTime now{100h};
  ClaimSweep sweep{24h};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_sweep_of_claims, Fixture)

BOOST_AUTO_TEST_CASE(deletes_what_is_older_than_the_retention_as_it_was_read) {
  const auto deletion = sweep.Take(
      {Claimed("old", now - 24h - 1ms), Claimed("young", now - 24h)}, now);
  BOOST_REQUIRE(deletion.writes.size() == 1);
  BOOST_TEST(deletion.writes.front().key == "keys/stock/old");
  BOOST_TEST(!deletion.writes.front().value.has_value());
  BOOST_REQUIRE(deletion.conditions.size() == 1);
  BOOST_TEST(deletion.conditions.front().position ==
             platform::Position::WithoutEra(7));
}

BOOST_AUTO_TEST_CASE(leaves_alone_what_is_no_claim) {
  const auto deletion =
      sweep.Take({{.key = "keys/stock/x", .value = "?", .position = {}}}, now);
  BOOST_TEST(deletion.writes.empty());
}

BOOST_AUTO_TEST_CASE(goes_on_after_a_full_page_and_begins_again_at_the_end) {
  const std::vector<platform::Row> page(ClaimSweep::kPage,
                                        Claimed("young", now));
  (void)sweep.Take(page, now);
  BOOST_TEST(sweep.After() == "keys/stock/young");
  (void)sweep.Take({Claimed("young", now)}, now);
  BOOST_TEST(sweep.After().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::idempotency
