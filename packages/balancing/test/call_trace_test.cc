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
    auto made = std::make_shared<core::CallRequest>();
    made->id = "9c41";
    made->service = core::ServiceName{"stock"};
    made->objective = 200ms;
    made->received = this->start - 4ms;
    made->deadline = this->start + 800ms;
    this->trace = CallTrace{made, core::Revision{12}, this->start};
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

BOOST_AUTO_TEST_CASE(tells_each_step_with_what_decided_it) {
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

BOOST_AUTO_TEST_CASE(tells_how_old_what_was_known_was_and_how_long_it_waited) {
  Send(AttemptKind::kFirst, start + 2ms);
  End(ExchangeResult::kAnswered, 200, start + 80ms);
  const auto lines = trace.Lines();
  BOOST_TEST(lines[0].find("waited_ms=4.0") != std::string::npos);
  BOOST_TEST(lines[1].ends_with("list_age_ms=700 list_told_by=store"));
  BOOST_TEST(lines[2].find("waited_ms=3.0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(tells_a_repeat_from_a_hedge) {
  Send(AttemptKind::kRetry, start);
  Send(AttemptKind::kHedge, start);
  BOOST_TEST(trace.Lines()[1].starts_with("Sent again. "));
  BOOST_TEST(trace.Lines()[2].starts_with("Hedged. "));
}

BOOST_AUTO_TEST_CASE(tells_a_refusal_with_what_is_known_of_the_run) {
  trace.Add(TraceRefused{{.run = core::RunState::kNotRun,
                          .reason = core::RefusalReason::kBusy,
                          .retry_after = 250ms}},
            start + 1ms);
  BOOST_TEST(
      trace.Lines()[1] ==
      "Refused. id=9c41 at_ms=1.0 reason=busy run=not-run retry_after_ms=250");
}

BOOST_AUTO_TEST_CASE(tells_that_the_caller_left_or_the_answer_broke) {
  trace.Add(TraceCallerLeft{}, start + 5ms);
  trace.Add(TraceBroken{}, start + 6ms);
  BOOST_TEST(trace.Lines()[1] == "Caller left. id=9c41 at_ms=5.0");
  BOOST_TEST(trace.Lines()[2] == "Answer broke. id=9c41 at_ms=6.0");
}

BOOST_AUTO_TEST_CASE(tells_which_targets_were_asked) {
  trace.Add(TraceProbed{{core::InstanceName{"i-1"}, core::InstanceName{"i-2"}}},
            start);
  BOOST_TEST(trace.Lines()[1].ends_with("targets=i-1,i-2"));
}

BOOST_AUTO_TEST_SUITE(is_notable)

BOOST_AUTO_TEST_CASE(not_if_all_went_well_in_time) {
  Send(AttemptKind::kFirst, start);
  End(ExchangeResult::kAnswered, 200, start + 80ms);
  BOOST_TEST(!IsNotable());
}

BOOST_AUTO_TEST_CASE(if_it_took_longer_than_its_objective) {
  Send(AttemptKind::kFirst, start);
  End(ExchangeResult::kAnswered, 200, start + 201ms);
  BOOST_TEST(IsNotable());
}

BOOST_AUTO_TEST_CASE(if_the_target_failed_or_it_was_sent_again) {
  End(ExchangeResult::kAnswered, 500, start);
  BOOST_TEST(IsNotable());
  Fixture repeated;
  repeated.Send(AttemptKind::kRetry, start);
  BOOST_TEST(repeated.IsNotable());
}

BOOST_AUTO_TEST_CASE(if_it_was_refused) {
  trace.Add(TraceRefused{}, start);
  BOOST_TEST(IsNotable());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(traces_in_the_log, Fixture)

BOOST_AUTO_TEST_CASE(keep_notable_calls_whole_and_few_others) {
  TraceSampler sampler{{.budget = 1'000, .one_in = 100}};
  Send(AttemptKind::kFirst, start);
  int drawn = 0;
  for (int call = 0; call < 1'000; ++call) {
    drawn += sampler.ShouldSample(trace) ? 1 : 0;
  }
  BOOST_TEST(drawn == 10);
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
