#include "trefoilbend/balancing/call_trace.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "trefoilbend/balancing/trace_sampler.h"

namespace trefoilbend::balancing {

using namespace std::chrono_literals;
using forwarding::ExchangeResult;

namespace {

struct Fixture {
  Fixture() {
    auto request = std::make_shared<core::CallRequest>();
    request->id = "9c41";
    request->service = core::ServiceName{"stock"};
    request->objective = 200ms;
    request->received = this->start - 4ms;
    request->deadline = this->start + 800ms;
    this->trace = CallTrace{request, core::Revision{12}, this->start};
  }

  void Send(const AttemptKind kind, const core::TimePoint at) {
    this->trace.Add(TraceSent{.kind = kind,
                              .target = core::InstanceName{"i-1"},
                              .candidate = {.in_flight = 1, .slots = 6},
                              .candidates = 23,
                              .knowledge = {{.as_of = at - 700ms}}},
                    at);
  }

  void End(const ExchangeResult result, const std::uint16_t status,
           const core::TimePoint at) {
    this->trace.Add(TraceEnded{.target = core::InstanceName{"i-1"},
                               .waited = 3ms,
                               .result = result,
                               .status = status},
                    at);
  }

  [[nodiscard]] bool IsNotable() const { return this->trace.IsNotable(1s); }

  core::TimePoint start{10s};
  CallTrace trace;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(the_trace_of_a_call, Fixture)

BOOST_AUTO_TEST_CASE(lists_each_step_with_the_data_behind_it) {
  Send(AttemptKind::kFirst, start + 2ms);
  End(ExchangeResult::kAnswered, 200, start + 80ms);
  const auto lines = trace.Lines();
  BOOST_REQUIRE(lines.size() == 3U);
  BOOST_TEST(lines[0].starts_with("Arrived. id=9c41 at_ms=0 service=stock"));
  BOOST_TEST(lines[0].ends_with("revision=12"));
  BOOST_TEST(lines[1].starts_with("Sent. id=9c41 at_ms=2.0 target=i-1"));
  BOOST_TEST(lines[1].find("candidates=23") != std::string::npos);
  BOOST_TEST(lines[2].ends_with("result=answered status=200"));
}

BOOST_AUTO_TEST_CASE(shows_the_age_of_the_target_list_and_the_waiting_times) {
  Send(AttemptKind::kFirst, start + 2ms);
  End(ExchangeResult::kAnswered, 200, start + 80ms);
  const auto lines = trace.Lines();
  BOOST_TEST(lines[0].find("waited_ms=4.0") != std::string::npos);
  BOOST_TEST(lines[1].ends_with("list_age_ms=700 list_told_by=store"));
  BOOST_TEST(lines[2].find("waited_ms=3.0") != std::string::npos);
}

/** REFUSED could not be traced: two attempts on one connection looked like
 * attempts on two. */
BOOST_AUTO_TEST_CASE(names_the_connection_of_an_attempt_that_was_sent) {
  trace.Add(TraceEnded{.target = core::InstanceName{"i-1"},
                       .waited = 3ms,
                       .result = ExchangeResult::kRefused,
                       .status = 503,
                       .use = {{.connection = 17, .carried = 4, .skipped = 1}}},
            start);
  BOOST_TEST(trace.Lines()[1].ends_with(
      "result=refused status=503 connection=17 carried=4 skipped=1"));
}

BOOST_AUTO_TEST_CASE(distinguishes_a_retry_from_a_hedge) {
  Send(AttemptKind::kRetry, start);
  Send(AttemptKind::kHedge, start);
  BOOST_TEST(trace.Lines()[1].starts_with("Sent again. "));
  BOOST_TEST(trace.Lines()[2].starts_with("Hedged. "));
}

BOOST_AUTO_TEST_CASE(shows_the_reason_of_a_refusal_and_whether_the_call_ran) {
  trace.Add(TraceRefused{{.run = core::RunState::kNotRun,
                          .reason = core::RefusalReason::kBusy,
                          .retry_after = 250ms}},
            start + 1ms);
  BOOST_TEST(
      trace.Lines()[1] ==
      "Refused. id=9c41 at_ms=1.0 reason=busy run=not-run retry_after_ms=250");
}

BOOST_AUTO_TEST_CASE(shows_a_disconnected_caller_and_an_interrupted_answer) {
  trace.Add(TraceCallerLeft{}, start + 5ms);
  trace.Add(TraceBroken{}, start + 6ms);
  BOOST_TEST(trace.Lines()[1] == "Caller disconnected. id=9c41 at_ms=5.0");
  BOOST_TEST(trace.Lines()[2] == "Answer interrupted. id=9c41 at_ms=6.0");
}

BOOST_AUTO_TEST_CASE(lists_the_probed_targets) {
  trace.Add(TraceProbed{{core::InstanceName{"i-1"}, core::InstanceName{"i-2"}}},
            start);
  BOOST_TEST(trace.Lines()[1].ends_with("targets=i-1,i-2"));
}

BOOST_AUTO_TEST_SUITE(is_notable)

BOOST_AUTO_TEST_CASE(not_if_it_was_answered_within_its_objective) {
  Send(AttemptKind::kFirst, start);
  End(ExchangeResult::kAnswered, 200, start + 80ms);
  BOOST_TEST(!IsNotable());
}

BOOST_AUTO_TEST_CASE(if_it_took_longer_than_its_objective) {
  Send(AttemptKind::kFirst, start);
  End(ExchangeResult::kAnswered, 200, start + 201ms);
  BOOST_TEST(IsNotable());
}

BOOST_AUTO_TEST_CASE(if_the_target_failed_or_it_was_retried) {
  End(ExchangeResult::kAnswered, 500, start);
  BOOST_TEST(IsNotable());
  Fixture retried;
  retried.Send(AttemptKind::kRetry, start);
  BOOST_TEST(retried.IsNotable());
}

BOOST_AUTO_TEST_CASE(if_it_was_refused) {
  trace.Add(TraceRefused{}, start);
  BOOST_TEST(IsNotable());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(traces_in_the_log, Fixture)

BOOST_AUTO_TEST_CASE(include_notable_calls_and_a_sample_of_the_others) {
  TraceSampler sampler{{.budget = 1'000, .one_in = 100}};
  Send(AttemptKind::kFirst, start);
  int sampled = 0;
  for (int call = 0; call < 1'000; ++call) {
    sampled += sampler.ShouldSample(trace) ? 1 : 0;
  }
  BOOST_TEST(sampled == 10);
  trace.Add(TraceRefused{}, start);
  BOOST_TEST(sampler.ShouldSample(trace));
}

BOOST_AUTO_TEST_CASE(stay_within_the_budget_at_ten_times_the_load) {
  TraceSampler sampler{{.budget = 1'000}};
  std::size_t written = 0;
  core::TimePoint now = start;
  for (int call = 0; call < 1'000; ++call, now += 10ms) {
    written += sampler.TryWithdraw(500, now) ? 500 : 0;
  }
  BOOST_TEST(written <= 11'000U);
  BOOST_TEST(written >= 9'000U);
  BOOST_TEST(sampler.TakeDropped() > 900U);
  BOOST_TEST(sampler.TakeDropped() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
