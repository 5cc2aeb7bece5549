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
    this->last =
        this->dispatcher.Configure({builder.Build(), listed}, this->now);
  }

  void Submit(const std::uint64_t id, const bool idempotent = true) {
    auto request = std::make_shared<core::CallRequest>();
    request->service = core::ServiceName{"stock"};
    request->idempotent = idempotent;
    request->deadline = this->now + 1s;
    this->last = this->dispatcher.Submit({CallId{id}, request}, this->now);
  }

  void End(const StartExchange& started, const ExchangeResult result) {
    this->last = this->dispatcher.OnExchangeEnded({.call = started.call,
                                                   .exchange = started.exchange,
                                                   .target = started.target,
                                                   .result = result,
                                                   .load = std::nullopt},
                                                  this->now);
  }

  template <typename Type>
  [[nodiscard]] Type Only() const {
    BOOST_REQUIRE(this->last.size() == 1);
    BOOST_REQUIRE(std::holds_alternative<Type>(this->last.front()));
    return std::get<Type>(this->last.front());
  }

  Dispatcher dispatcher{DispatcherOptions{.queue = {.length = 2}}};
  Decisions last;
  TimePoint now{10s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_dispatcher, Fixture)

BOOST_AUTO_TEST_SUITE(with_free_targets)

BOOST_AUTO_TEST_CASE(spreads_calls_over_them) {
  Submit(1);
  const auto first = Only<StartExchange>();
  Submit(2);
  BOOST_TEST(first.target != Only<StartExchange>().target);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_leaving_target) {
  Configure({"a"}, {"b"});
  for (std::uint64_t id = 1; id <= 2; ++id) {
    Submit(id);
    BOOST_TEST(Only<StartExchange>().target == InstanceName{"a"});
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_all_targets_at_their_limit)

BOOST_AUTO_TEST_CASE(lets_calls_wait_and_serves_them_when_one_ends) {
  Submit(1);
  const auto first = Only<StartExchange>();
  Submit(2);
  Submit(3);
  Submit(4);
  Submit(5);
  BOOST_TEST(last.empty());
  End(first, ExchangeResult::kAnswered);
  BOOST_TEST(Only<StartExchange>().call == CallId{5});
}

BOOST_AUTO_TEST_CASE(refuses_as_not_run_what_does_not_fit_or_waits_too_long) {
  for (std::uint64_t id = 1; id <= 7; ++id) {
    Submit(id);
  }
  const auto busy = Only<CallRefused>();
  BOOST_TEST((busy.refusal.reason == core::RefusalReason::kBusy));
  BOOST_TEST((busy.refusal.run == core::RunState::kNotRun));
  last = dispatcher.Tick(now + 2s);
  BOOST_REQUIRE(last.size() == 2);
  const auto late = std::get<CallRefused>(last.front());
  BOOST_TEST((late.refusal.reason == core::RefusalReason::kDeadline));
  BOOST_TEST((late.refusal.run == core::RunState::kNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_target_fails)

BOOST_AUTO_TEST_CASE(tries_an_idempotent_call_elsewhere) {
  Submit(1);
  const auto first = Only<StartExchange>();
  End(first, ExchangeResult::kBrokenBeforeAnswer);
  BOOST_TEST(Only<StartExchange>().target != first.target);
}

BOOST_AUTO_TEST_CASE(never_sends_a_non_idempotent_call_twice_and_says_unknown) {
  Submit(1, false);
  End(Only<StartExchange>(), ExchangeResult::kBrokenBeforeAnswer);
  BOOST_TEST((Only<CallRefused>().refusal.run == core::RunState::kUnknown));
}

BOOST_AUTO_TEST_CASE(
    tries_a_non_idempotent_call_elsewhere_if_nothing_was_sent) {
  Submit(1, false);
  End(Only<StartExchange>(), ExchangeResult::kNotSent);
  End(Only<StartExchange>(), ExchangeResult::kNotSent);
  BOOST_TEST((Only<CallRefused>().refusal.run == core::RunState::kNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_target_refuses)

BOOST_AUTO_TEST_CASE(passes_a_refusal_on_to_a_non_idempotent_call) {
  Submit(1, false);
  BOOST_TEST(!Only<StartExchange>().holds_refusals);
}

BOOST_AUTO_TEST_CASE(tries_elsewhere_what_a_rule_takes_for_not_run) {
  Configure({"a", "b"}, {}, true);
  Submit(1, false);
  const auto first = Only<StartExchange>();
  BOOST_TEST(first.holds_refusals);
  End(first, ExchangeResult::kRefused);
  BOOST_TEST(Only<StartExchange>().target != first.target);
  End(Only<StartExchange>(), ExchangeResult::kRefused);
  const auto refusal = Only<CallRefused>().refusal;
  BOOST_TEST((refusal.reason == core::RefusalReason::kBusy));
  BOOST_TEST((refusal.run == core::RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(does_not_send_again_what_another_target_may_have_run) {
  Configure({"a", "b"}, {}, true);
  Submit(1, false);
  End(Only<StartExchange>(), ExchangeResult::kRefused);
  End(Only<StartExchange>(), ExchangeResult::kBrokenBeforeAnswer);
  BOOST_TEST((Only<CallRefused>().refusal.run == core::RunState::kUnknown));
}

BOOST_AUTO_TEST_CASE(tries_an_idempotent_call_elsewhere_without_a_rule_too) {
  Submit(1);
  const auto first = Only<StartExchange>();
  End(first, ExchangeResult::kRefused);
  BOOST_TEST(Only<StartExchange>().target != first.target);
  End(Only<StartExchange>(), ExchangeResult::kRefused);
  BOOST_TEST((Only<CallRefused>().refusal.run == core::RunState::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_caller_goes_away)

BOOST_AUTO_TEST_CASE(cancels_an_idempotent_exchange) {
  Submit(1);
  const auto started = Only<StartExchange>();
  last = dispatcher.Cancel({CallId{1}}, now);
  BOOST_TEST(Only<forwarding::CancelExchange>().exchange == started.exchange);
  End(started, ExchangeResult::kCancelled);
  BOOST_TEST(last.empty());
  BOOST_TEST(dispatcher.CallCount() == 0U);
}

BOOST_AUTO_TEST_CASE(lets_a_non_idempotent_exchange_run_to_its_end) {
  Submit(1, false);
  last = dispatcher.Cancel({CallId{1}}, now);
  BOOST_TEST(last.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
