#include "trefoilbend/rollout/release_plan.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace trefoilbend::rollout {

using namespace std::chrono_literals;

namespace {

PlanInput InputOf(const std::chrono::seconds left, const std::uint64_t calls) {
  PlanInput input{.left = left, .cold_start = 10s};
  input.traffic.time = 100s;
  input.traffic.calls[core::RouteName{"lookup"}] = calls * 9;
  input.traffic.calls[core::RouteName{"reserve"}] = calls;
  return input;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_plan_of_steps)

BOOST_AUTO_TEST_CASE(begins_with_the_smallest_share_when_there_is_time) {
  const ReleasePlan plan = MakePlan(InputOf(1h, 1'000));
  BOOST_TEST(plan.feasible);
  BOOST_TEST(plan.steps.front().share == 10);
}

BOOST_AUTO_TEST_CASE(spreads_the_time_and_keeps_a_fifth_of_it_back) {
  const ReleasePlan plan = MakePlan(InputOf(1h, 1'000));
  std::chrono::seconds planned{};
  for (const PlannedStep& step : plan.steps) {
    BOOST_TEST((step.planned >= step.needed));
    planned += step.planned;
  }
  BOOST_TEST((planned <= 48min));
  BOOST_TEST((planned > 40min));
}

BOOST_AUTO_TEST_CASE(takes_fewer_steps_when_time_is_short) {
  const ReleasePlan plan = MakePlan(InputOf(10min, 100));
  BOOST_TEST(plan.feasible);
  BOOST_TEST(plan.steps.front().share > 10);
}

BOOST_AUTO_TEST_CASE(says_so_when_no_ladder_fits) {
  const ReleasePlan plan = MakePlan(InputOf(60s, 10));
  BOOST_TEST(!plan.feasible);
  BOOST_TEST((plan.shortest > 60s));
  BOOST_TEST(!plan.steps.empty());
}

BOOST_AUTO_TEST_CASE(never_goes_below_the_share_that_is_reached) {
  PlanInput input = InputOf(1h, 1'000);
  input.share = 300;
  const ReleasePlan plan = MakePlan(input);
  BOOST_TEST(plan.steps.front().share == 300);
  BOOST_TEST(plan.steps.at(1).share > 300);
}

BOOST_AUTO_TEST_CASE(asks_no_proof_of_a_route_that_is_hardly_called) {
  Traffic traffic;
  traffic.calls[core::RouteName{"lookup"}] = 1'000;
  traffic.calls[core::RouteName{"rare"}] = 1;
  BOOST_TEST(RoutesToProve(traffic).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::rollout
