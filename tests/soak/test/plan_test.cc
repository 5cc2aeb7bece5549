#include "soak/plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

namespace trefoilbend::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeeds = 50;

PlanOptions WithSeed(const std::uint64_t seed) {
  return {.seed = seed, .duration = 60s, .entries = 3, .targets = 6};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_plan_of_disturbances)

BOOST_AUTO_TEST_CASE(is_the_same_for_the_same_seed) {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    BOOST_TEST((DrawPlan(WithSeed(seed)) == DrawPlan(WithSeed(seed))));
  }
}

BOOST_AUTO_TEST_CASE(differs_between_seeds) {
  std::set<std::string> plans;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    std::string text;
    for (const Disturbance& one : DrawPlan(WithSeed(seed))) {
      text += Describe(one) + '\n';
    }
    plans.insert(text);
  }
  BOOST_TEST(plans.size() == kSeeds);
}

BOOST_AUTO_TEST_CASE(reaches_every_fault_of_every_part) {
  std::set<std::pair<Action, std::string>> seen;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    for (const Disturbance& one : DrawPlan(WithSeed(seed))) {
      const std::string part = one.instance.substr(0, one.instance.rfind('-'));
      seen.emplace(one.action, part + ' ' + one.fault);
    }
  }
  BOOST_TEST(seen.size() == 21U);
}

BOOST_AUTO_TEST_SUITE(at_any_time)

BOOST_AUTO_TEST_CASE(disturbs_an_instance_once_and_leaves_one_of_each_alone) {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const auto plan = DrawPlan(WithSeed(seed));
    for (const Disturbance& one : plan) {
      std::map<std::string, int> disturbed;
      std::map<std::string, int> parts;
      for (const Disturbance& other : plan) {
        if (other.begin <= one.begin &&
            one.begin <= other.begin + other.length) {
          ++disturbed[other.instance];
          ++parts[other.instance.substr(0, 5)];
        }
      }
      BOOST_TEST(disturbed[one.instance] == 1);
      BOOST_TEST(parts["entry"] < 3);
      BOOST_TEST(parts["stock"] < 6);
    }
  }
}

BOOST_AUTO_TEST_CASE(ends_all_of_them_within_the_run) {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    for (const Disturbance& one : DrawPlan(WithSeed(seed))) {
      BOOST_TEST((one.length >= 0ms));
      BOOST_TEST((one.begin + one.length <= 60s));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::soak
