#include "trefoilbend/balancing/dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace trefoilbend::balancing {

using namespace std::chrono_literals;
using core::CallId;
using core::InstanceName;
using core::TimePoint;
using forwarding::ExchangeResult;
using forwarding::StartExchange;

namespace {

class Fixture {
 public:
  Fixture() { this->Configure({"a", "b"}, {}); }

  void Configure(const std::vector<std::string>& live,
                 const std::vector<std::string>& leaving,
                 const bool trusts_refusals = false) {
    inventory::Configuration::Builder builder;
    builder.Put(inventory::Service{.name = core::ServiceName{"stock"},
                                   .trusts_refusals = trusts_refusals});
    builder.Put(inventory::DataCentre{.name = core::DataCentreName{"xela"}});
    auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
    for (const std::string name : {"a", "b"}) {
      inventory::Instance target;
      target.name = InstanceName{name};
      target.service = core::ServiceName{"stock"};
      target.data_centre = core::DataCentreName{"xela"};
      target.slots = 1;
      target.connections = 2;
      builder.Put(target);
    }
    for (const std::string& name : live) {
      listed->push_back({InstanceName{name}, platform::InstanceState::kLive});
    }
    for (const std::string& name : leaving) {
      listed->push_back(
          {InstanceName{name}, platform::InstanceState::kLeaving});
    }
    this->decisions =
        this->dispatcher.Configure({builder.Build(), listed}, this->now);
  }

  void Submit(const std::uint64_t id, const bool idempotent = true) {
    auto request = std::make_shared<core::CallRequest>();
    request->service = core::ServiceName{"stock"};
    request->idempotent = idempotent;
    request->deadline = this->now + 1s;
    this->decisions = this->dispatcher.Submit({CallId{id}, request}, this->now);
  }

  void EndExchange(const StartExchange& started, const ExchangeResult result) {
    this->decisions =
        this->dispatcher.OnExchangeEnded({.call = started.call,
                                          .exchange = started.exchange,
                                          .target = started.target,
                                          .result = result,
                                          .load = std::nullopt},
                                         this->now);
  }

  template <typename Type>
  [[nodiscard]] Type OnlyDecision() const {
    BOOST_REQUIRE(this->decisions.size() == 1);
    BOOST_REQUIRE(std::holds_alternative<Type>(this->decisions.front()));
    return std::get<Type>(this->decisions.front());
  }

  Dispatcher dispatcher{DispatcherOptions{.queue = {.length = 2}}};
  Decisions decisions;
  TimePoint now{10s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_dispatcher, Fixture)

BOOST_AUTO_TEST_SUITE(with_free_targets)

BOOST_AUTO_TEST_CASE(spreads_calls_over_them) {
  Submit(1);
  const auto first = OnlyDecision<StartExchange>();
  Submit(2);
  BOOST_TEST(first.target != OnlyDecision<StartExchange>().target);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_leaving_target) {
  Configure({"a"}, {"b"});
  for (std::uint64_t id = 1; id <= 2; ++id) {
    Submit(id);
    BOOST_TEST(OnlyDecision<StartExchange>().target == InstanceName{"a"});
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_all_targets_at_their_limit)

BOOST_AUTO_TEST_CASE(queues_a_call_and_sends_it_when_an_exchange_ends) {
  Submit(1);
  const auto first = OnlyDecision<StartExchange>();
  Submit(2);
  Submit(3);
  Submit(4);
  Submit(5);
  BOOST_TEST(decisions.empty());
  EndExchange(first, ExchangeResult::kAnswered);
  BOOST_TEST(OnlyDecision<StartExchange>().call == CallId{5});
}

BOOST_AUTO_TEST_CASE(
    refuses_as_not_run_a_call_that_overflows_its_queue_or_waits_too_long) {
  for (std::uint64_t id = 1; id <= 7; ++id) {
    Submit(id);
  }
  const auto busy = OnlyDecision<CallRefused>();
  BOOST_TEST((busy.refusal.reason == core::RefusalReason::kBusy));
  BOOST_TEST((busy.refusal.run == core::RunState::kNotRun));
  decisions = dispatcher.Tick(now + 2s);
  BOOST_REQUIRE(decisions.size() == 2);
  const auto late = std::get<CallRefused>(decisions.front());
  BOOST_TEST((late.refusal.reason == core::RefusalReason::kDeadline));
  BOOST_TEST((late.refusal.run == core::RunState::kNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_target_fails)

BOOST_AUTO_TEST_CASE(retries_an_idempotent_call_at_another_target) {
  Submit(1);
  const auto first = OnlyDecision<StartExchange>();
  EndExchange(first, ExchangeResult::kBrokenBeforeAnswer);
  BOOST_TEST(OnlyDecision<StartExchange>().target != first.target);
}

BOOST_AUTO_TEST_CASE(
    never_sends_a_non_idempotent_call_twice_and_reports_it_as_unknown) {
  Submit(1, false);
  EndExchange(OnlyDecision<StartExchange>(),
              ExchangeResult::kBrokenBeforeAnswer);
  BOOST_TEST(
      (OnlyDecision<CallRefused>().refusal.run == core::RunState::kUnknown));
}

BOOST_AUTO_TEST_CASE(retries_a_non_idempotent_call_if_nothing_was_sent) {
  Submit(1, false);
  EndExchange(OnlyDecision<StartExchange>(), ExchangeResult::kNotSent);
  EndExchange(OnlyDecision<StartExchange>(), ExchangeResult::kNotSent);
  BOOST_TEST(
      (OnlyDecision<CallRefused>().refusal.run == core::RunState::kNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_target_refuses)

BOOST_AUTO_TEST_CASE(
    passes_the_refusal_of_a_non_idempotent_call_to_its_caller) {
  Submit(1, false);
  BOOST_TEST(!OnlyDecision<StartExchange>().holds_refusals);
}

BOOST_AUTO_TEST_CASE(
    retries_a_non_idempotent_call_if_the_service_trusts_refusals) {
  Configure({"a", "b"}, {}, true);
  Submit(1, false);
  const auto first = OnlyDecision<StartExchange>();
  BOOST_TEST(first.holds_refusals);
  EndExchange(first, ExchangeResult::kRefused);
  BOOST_TEST(OnlyDecision<StartExchange>().target != first.target);
  EndExchange(OnlyDecision<StartExchange>(), ExchangeResult::kRefused);
  const auto refusal = OnlyDecision<CallRefused>().refusal;
  BOOST_TEST((refusal.reason == core::RefusalReason::kBusy));
  BOOST_TEST((refusal.run == core::RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(does_not_retry_a_call_that_another_target_may_have_run) {
  Configure({"a", "b"}, {}, true);
  Submit(1, false);
  EndExchange(OnlyDecision<StartExchange>(), ExchangeResult::kRefused);
  EndExchange(OnlyDecision<StartExchange>(),
              ExchangeResult::kBrokenBeforeAnswer);
  BOOST_TEST(
      (OnlyDecision<CallRefused>().refusal.run == core::RunState::kUnknown));
}

/** A failure is reported for any call if its answer would promise that the
 * request has not run. */
BOOST_AUTO_TEST_CASE(promises_nothing_of_a_call_whose_failure_was_held_back) {
  Configure({"a", "b"}, {}, true);
  Submit(1, false);
  EndExchange(OnlyDecision<StartExchange>(), ExchangeResult::kFailed);
  const auto refusal = OnlyDecision<CallRefused>().refusal;
  BOOST_TEST((refusal.reason == core::RefusalReason::kTargetFailed));
  BOOST_TEST((refusal.run == core::RunState::kUnknown));
}

BOOST_AUTO_TEST_CASE(
    retries_an_idempotent_call_even_if_refusals_are_not_trusted) {
  Submit(1);
  const auto first = OnlyDecision<StartExchange>();
  EndExchange(first, ExchangeResult::kRefused);
  BOOST_TEST(OnlyDecision<StartExchange>().target != first.target);
  EndExchange(OnlyDecision<StartExchange>(), ExchangeResult::kRefused);
  BOOST_TEST(
      (OnlyDecision<CallRefused>().refusal.run == core::RunState::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_caller_disconnects)

BOOST_AUTO_TEST_CASE(cancels_the_exchange_of_an_idempotent_call) {
  Submit(1);
  const auto started = OnlyDecision<StartExchange>();
  decisions = dispatcher.Cancel({CallId{1}}, now);
  BOOST_TEST(OnlyDecision<forwarding::CancelExchange>().exchange ==
             started.exchange);
  EndExchange(started, ExchangeResult::kCancelled);
  BOOST_TEST(decisions.empty());
  BOOST_TEST(dispatcher.CallCount() == 0U);
}

BOOST_AUTO_TEST_CASE(lets_the_exchange_of_a_non_idempotent_call_finish) {
  Submit(1, false);
  decisions = dispatcher.Cancel({CallId{1}}, now);
  BOOST_TEST(decisions.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
