#include "trefoilbend/rollout/sequential_test.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace trefoilbend::rollout {

namespace {

constexpr double kAlarm = 10;

Comparison Draw(std::mt19937_64& random, const std::uint32_t new_calls,
                const std::uint32_t old_calls, const double new_rate,
                const double old_rate) {
  using Binomial = std::binomial_distribution<std::uint32_t>;
  return {.new_calls = new_calls,
          .new_events = Binomial{new_calls, new_rate}(random),
          .old_calls = old_calls,
          .old_events = Binomial{old_calls, old_rate}(random)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_likelihood_ratio_of_two_versions)

BOOST_AUTO_TEST_CASE(of_one_event_among_two_calls_is_known) {
  const Comparison one{
      .new_calls = 1, .new_events = 1, .old_calls = 1, .old_events = 0};
  const double expected = std::log((3.0 / 4.0) / (1.0 / 2.0));
  BOOST_TEST(LogLikelihoodRatio(one, 1, 3) == expected,
             boost::test_tools::tolerance(1e-12));
}

BOOST_AUTO_TEST_CASE(averages_to_one_when_the_versions_are_alike) {
  // Hypergeometric probabilities of 0, 1 and 2 of 2 events among 3 and 5 calls.
  const double chances[] = {10.0 / 28, 15.0 / 28, 3.0 / 28};
  double mean = 0;
  for (std::uint32_t k = 0; k <= 2; ++k) {
    mean += chances[k] * std::exp(LogLikelihoodRatio({.new_calls = 3,
                                                      .new_events = k,
                                                      .old_calls = 5,
                                                      .old_events = 2 - k},
                                                     1, 4));
  }
  BOOST_TEST(mean == 1.0, boost::test_tools::tolerance(1e-12));
}

BOOST_AUTO_TEST_CASE(tells_nothing_without_calls_of_both_or_without_events) {
  BOOST_TEST(LogLikelihoodRatio({.new_calls = 9, .new_events = 9}, 1, 3) == 0);
  BOOST_TEST(LogLikelihoodRatio({.new_calls = 9, .old_calls = 9}, 1, 3) == 0);
}

BOOST_AUTO_TEST_CASE(stays_finite_for_many_events) {
  const Comparison many{.new_calls = 100'000,
                        .new_events = 90'000,
                        .old_calls = 100'000,
                        .old_events = 50'000};
  BOOST_TEST(std::isfinite(LogLikelihoodRatio(many, 1, 40)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_sequential_test)

BOOST_AUTO_TEST_CASE(raises_no_alarm_over_many_looks_at_equal_versions) {
  std::mt19937_64 random{1};
  int alarms = 0;
  for (int release = 0; release < 200; ++release) {
    SequentialTest test;
    bool alarm = false;
    for (int look = 0; look < 2'000; ++look) {
      test.Add(Draw(random, 5, 45, 0.02, 0.02), 1);
      alarm = alarm || test.Strength() >= kAlarm;
    }
    alarms += alarm ? 1 : 0;
  }
  BOOST_TEST(alarms <= 2);
}

BOOST_AUTO_TEST_CASE(finds_a_late_fault_as_fast_as_an_early_one) {
  for (const int good_looks : {0, 20'000}) {
    std::mt19937_64 random{1};
    SequentialTest test;
    for (int look = 0; look < good_looks; ++look) {
      test.Add(Draw(random, 5, 45, 0.002, 0.002), 1);
    }
    int looks = 0;
    while (test.Strength() < kAlarm && looks < 1'000) {
      test.Add(Draw(random, 5, 45, 0.2, 0.002), 1);
      ++looks;
    }
    BOOST_TEST(looks <= 20);
  }
}

BOOST_AUTO_TEST_CASE(does_not_blame_the_new_version_for_a_burst_on_both) {
  std::mt19937_64 random{1};
  SequentialTest test;
  for (int look = 0; look < 100; ++look) {
    test.Add(Draw(random, 10, 40, 0.3, 0.3), 1);
  }
  BOOST_TEST(test.Strength() < kAlarm);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::rollout
