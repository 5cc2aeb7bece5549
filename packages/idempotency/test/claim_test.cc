#include "trefoilbend/idempotency/claim.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilbend::idempotency {

namespace {

using namespace std::chrono_literals;

Home MakeHome(const std::string& entry) {
  return {.entry = core::InstanceName{entry},
          .incarnation = core::Incarnation{9},
          .issued = IssueTime{5s}};
}

platform::Row RowOf(const Home& home) {
  const platform::Transaction claim = MakeClaim("keys/stock/a", home);
  return {.key = "keys/stock/a",
          .value = claim.writes.front().value.value_or(""),
          .position = platform::Position::WithoutEra(1)};
}

bool IsHome(const ClaimStep& step, const Home& home) {
  const auto* found = std::get_if<Home>(&step);
  return found != nullptr && *found == home;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_claim_of_a_callers_own_key)

BOOST_AUTO_TEST_CASE(succeeds_only_while_no_row_exists) {
  const auto claim =
      MakeClaim(ClaimRow(core::ServiceName{"stock"}, "a"), MakeHome("e"));
  BOOST_REQUIRE(claim.conditions.size() == 1U);
  BOOST_TEST(claim.conditions.front().key == "keys/stock/a");
  BOOST_TEST(claim.conditions.front().position == platform::kAbsent);
}

BOOST_AUTO_TEST_CASE(makes_the_claiming_process_the_home) {
  BOOST_TEST(
      IsHome(Settle(platform::Committed{}, MakeHome("e")), MakeHome("e")));
}

BOOST_AUTO_TEST_CASE(finds_the_home_that_came_first) {
  const platform::Conflict conflict{{RowOf(MakeHome("other"))}};
  BOOST_TEST(IsHome(Settle(conflict, MakeHome("e")), MakeHome("other")));
}

BOOST_AUTO_TEST_SUITE(when_the_platform_fails)

BOOST_AUTO_TEST_CASE(reads_a_claim_back_whose_answer_was_lost) {
  const platform::Unavailable lost{.effect_unknown = true, .message = {}};
  BOOST_TEST(
      std::holds_alternative<ReadClaimBack>(Settle(lost, MakeHome("e"))));
  const platform::ReadOutcome read =
      platform::FoundRow{.row = RowOf(MakeHome("e")), .era = {}};
  BOOST_TEST(IsHome(Settle(read), MakeHome("e")));
}

BOOST_AUTO_TEST_CASE(takes_no_missing_or_malformed_row_for_a_claim) {
  const platform::ReadOutcome none = platform::FoundRow{};
  BOOST_TEST(std::holds_alternative<NotClaimed>(Settle(none)));
  platform::Row row = RowOf(MakeHome("e"));
  row.value = R"({"entry": 1})";
  const platform::ReadOutcome malformed =
      platform::FoundRow{.row = row, .era = {}};
  BOOST_TEST(std::holds_alternative<NotClaimed>(Settle(malformed)));
  const platform::Unavailable down{.effect_unknown = false, .message = {}};
  BOOST_TEST(std::holds_alternative<NotClaimed>(Settle(down, MakeHome("e"))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::idempotency
