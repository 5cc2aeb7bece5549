#include "trefoilbend/callers/body_budget.h"

#include <boost/test/unit_test.hpp>

namespace trefoilbend::callers {

namespace {

constexpr std::uint64_t kMost = 100;
/** Budget that long bodies leave a part of, and how much that is. */
constexpr std::uint64_t kMostOfLong = 8U << 20U;
constexpr std::uint64_t kLeft = 1U << 20U;
constexpr std::uint64_t kShort = 64U << 10U;

struct Fixture {
  BodyBudget budget{kMost};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_budget_of_all_bodies, Fixture)

BOOST_AUTO_TEST_SUITE(gives_room)

BOOST_AUTO_TEST_CASE(up_to_its_bound) {
  const auto lease = budget.Lease();
  BOOST_TEST(lease->Hold(kMost));
  BOOST_TEST(budget.Held() == kMost);
}

BOOST_AUTO_TEST_CASE(for_a_body_that_grows) {
  const auto lease = budget.Lease();
  BOOST_TEST(lease->Hold(40));
  BOOST_TEST(lease->Hold(30));
  BOOST_TEST(lease->Hold(60));
  BOOST_TEST(budget.Held() == 60);
}

BOOST_AUTO_TEST_CASE(for_short_bodies_beside_long_ones) {
  const BodyBudget large{kMostOfLong};
  const auto first = large.Lease();
  BOOST_TEST(first->Hold(kMostOfLong - kLeft));
  BOOST_TEST(!large.Lease()->Hold(kShort + 1));
  BOOST_TEST(large.Lease()->Hold(kShort));
}

BOOST_AUTO_TEST_CASE(again_once_a_body_is_gone) {
  auto first = budget.Lease();
  BOOST_TEST(first->Hold(kMost));
  first.reset();
  BOOST_TEST(budget.Held() == 0);
  BOOST_TEST(budget.Lease()->Hold(kMost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gives_no_room)

BOOST_AUTO_TEST_CASE(beyond_what_the_others_leave) {
  const auto first = budget.Lease();
  const auto second = budget.Lease();
  BOOST_TEST(first->Hold(60));
  BOOST_TEST(!second->Hold(41));
  BOOST_TEST(second->Hold(40));
  BOOST_TEST(budget.Held() == kMost);
}

BOOST_AUTO_TEST_CASE(for_a_body_that_would_never_fit) {
  const auto lease = budget.Lease();
  BOOST_TEST(!lease->Hold(kMost + 1));
  BOOST_TEST(!lease->Hold(UINT64_MAX));
  BOOST_TEST(budget.Held() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(may_end_before_its_leases) {
  auto lease = BodyBudget{kMost}.Lease();
  BOOST_TEST(lease->Hold(1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::callers
