#include "trefoilbend/callers/stop_plan.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace trefoilbend::callers {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kBegin{1h};

/** An entry that is killed 6 s after its stop began. */
struct Stopping {
  Stopping() { plan.Begin(kBegin); }

  StopPlan plan{{.serve = 2s, .grace = 6s}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(an_entry_that_does_not_stop)

BOOST_AUTO_TEST_CASE(takes_every_call) {
  const StopPlan plan{{.serve = 2s, .grace = 6s}};
  BOOST_TEST(!plan.HasBegun());
  BOOST_TEST(plan.MayTake(kBegin + 24h));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_entry_that_stops, Stopping)

BOOST_AUTO_TEST_CASE(accepts_connections_for_as_long_as_callers_know_it) {
  BOOST_TEST(plan.HasBegun());
  BOOST_TEST((plan.ServesUntil() == kBegin + 2s));
}

BOOST_AUTO_TEST_CASE(takes_calls_that_have_their_answer_before_it_is_killed) {
  BOOST_TEST(plan.MayTake(kBegin + 5s));
}

/** LOST: calls that came late in the grace were cut at its end, among them
 * some that must not be repeated. */
BOOST_AUTO_TEST_CASE(refuses_calls_that_could_be_cut) {
  BOOST_TEST(!plan.MayTake(kBegin + 6s));
  BOOST_TEST(!plan.MayTake(kBegin + 20s));
}

BOOST_AUTO_TEST_CASE(keeps_time_for_its_last_answers) {
  BOOST_TEST((plan.AnswersUntil() < kBegin + 6s));
  BOOST_TEST((plan.AnswersUntil() > kBegin + 5s));
}

BOOST_AUTO_TEST_SUITE(with_less_grace_than_callers_know_it)

BOOST_AUTO_TEST_CASE(accepts_connections_only_until_its_last_answers) {
  StopPlan short_plan{{.serve = 2s, .grace = 1s}};
  short_plan.Begin(kBegin);
  BOOST_TEST((short_plan.ServesUntil() == short_plan.AnswersUntil()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_nobody_kills)

BOOST_AUTO_TEST_CASE(takes_every_call) {
  StopPlan patient{{.serve = 2s, .grace = {}}};
  patient.Begin(kBegin);
  BOOST_TEST(patient.MayTake(kBegin + 24h));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::callers
