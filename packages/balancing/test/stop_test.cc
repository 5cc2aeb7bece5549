#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <variant>

#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::balancing {

using namespace std::chrono_literals;
using core::CallId;
using forwarding::ExchangeResult;
using forwarding::StartExchange;

namespace {

/** An entry whose only target has room for two calls. */
class Fixture {
 public:
  Fixture() {
    inventory::Configuration::Builder builder;
    builder.Put(inventory::Service{.name = core::ServiceName{"stock"},
                                   .trusts_refusals = true});
    builder.Put(inventory::DataCentre{.name = core::DataCentreName{"xela"}});
    inventory::Instance target;
    target.name = core::InstanceName{"a"};
    target.service = core::ServiceName{"stock"};
    target.data_centre = core::DataCentreName{"xela"};
    target.slots = 1;
    target.connections = 2;
    builder.Put(target);
    auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
    listed->push_back({target.name, platform::InstanceState::kLive});
    (void)this->dispatcher.Configure({builder.Build(), listed}, this->now);
  }

  /** Submits a call that must not be repeated. */
  Decisions Submit(const std::uint64_t id, const core::Duration timeout) {
    auto request = std::make_shared<core::CallRequest>();
    request->service = core::ServiceName{"stock"};
    request->deadline = this->now + timeout;
    return this->dispatcher.Submit({CallId{id}, request}, this->now);
  }

  /** Fills the target; returns the exchange of the first call. */
  StartExchange Fill(const core::Duration timeout) {
    StartExchange first = StartOf(this->Submit(1, timeout));
    (void)this->Submit(2, timeout);
    return first;
  }

  static StartExchange StartOf(const Decisions& decisions) {
    return std::get<StartExchange>(decisions.at(0));
  }

  static bool Withdraws(const Decisions& decisions,
                        const core::ExchangeId exchange) {
    return std::any_of(
        decisions.begin(), decisions.end(), [&](const Decision& decision) {
          const auto* order =
              std::get_if<forwarding::WithdrawExchange>(&decision);
          return order != nullptr && order->exchange == exchange;
        });
  }

  Decisions Stop() {
    return this->dispatcher.Stop({this->now + 5s}, this->now);
  }

  Decisions End(const StartExchange& started, const ExchangeResult result) {
    return this->dispatcher.OnExchangeEnded({.call = started.call,
                                             .exchange = started.exchange,
                                             .target = started.target,
                                             .result = result,
                                             .load = std::nullopt},
                                            this->now);
  }

  static bool IsStoppingNotRun(const Decision& decision, const CallId call) {
    const auto* refused = std::get_if<CallRefused>(&decision);
    return refused != nullptr && refused->call == call &&
           refused->refusal.reason == core::RefusalReason::kStopping &&
           refused->refusal.run == core::RunState::kNotRun;
  }

  Dispatcher dispatcher{DispatcherOptions{.queue = {.length = 4}}};
  core::TimePoint now{10s};
};

}  // namespace

/** LOST: calls that had been taken before a stop waited for a target, were sent
 * late in the grace and cut at its end. */
BOOST_FIXTURE_TEST_SUITE(a_dispatcher_of_an_entry_that_stops, Fixture)

BOOST_AUTO_TEST_SUITE(with_a_call_that_waits)

BOOST_AUTO_TEST_CASE(refuses_it_at_once_if_it_could_outlast_the_stop) {
  (void)Fill(20s);
  BOOST_TEST(Submit(3, 20s).empty());
  const Decisions decisions = Stop();
  BOOST_REQUIRE(!decisions.empty());
  BOOST_TEST(IsStoppingNotRun(decisions.front(), CallId{3}));
  BOOST_TEST(dispatcher.CallCount() == 2);
}

BOOST_AUTO_TEST_CASE(sends_it_if_it_ends_in_time) {
  const StartExchange first = Fill(20s);
  BOOST_TEST(Submit(3, 4s).empty());
  (void)Stop();
  const Decisions decisions = End(first, ExchangeResult::kAnswered);
  BOOST_REQUIRE(decisions.size() == 1);
  BOOST_TEST((std::get<StartExchange>(decisions.front()).call == CallId{3}));
}

BOOST_AUTO_TEST_SUITE_END()

/** A call with a key is submitted once its key is claimed. */
BOOST_AUTO_TEST_SUITE(with_a_call_that_comes_later)

BOOST_AUTO_TEST_CASE(refuses_it_if_it_could_outlast_the_stop) {
  (void)Stop();
  const Decisions decisions = Submit(1, 20s);
  BOOST_REQUIRE(decisions.size() == 1);
  BOOST_TEST(IsStoppingNotRun(decisions.front(), CallId{1}));
  BOOST_TEST(dispatcher.CallCount() == 0);
}

BOOST_AUTO_TEST_CASE(sends_it_if_it_ends_in_time) {
  (void)Stop();
  BOOST_TEST(StartOf(Submit(1, 4s)).call == CallId{1});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_call_that_is_under_way)

BOOST_AUTO_TEST_CASE(takes_it_back_from_its_target_unless_it_is_written) {
  const StartExchange first = Fill(20s);
  const Decisions decisions = Stop();
  BOOST_TEST(decisions.size() == 2);
  BOOST_TEST(Withdraws(decisions, first.exchange));
}

/** A call that ends in time and waits for the same target keeps its place. */
BOOST_AUTO_TEST_CASE(takes_back_no_other_call_from_its_target) {
  const StartExchange first = StartOf(Submit(1, 20s));
  const StartExchange second = StartOf(Submit(2, 4s));
  const Decisions decisions = Stop();
  BOOST_TEST(Withdraws(decisions, first.exchange));
  BOOST_TEST(!Withdraws(decisions, second.exchange));
}

BOOST_AUTO_TEST_CASE(refuses_it_once_it_comes_back_unsent) {
  const StartExchange first = Fill(20s);
  (void)Stop();
  const Decisions decisions = End(first, ExchangeResult::kNotSent);
  BOOST_REQUIRE(decisions.size() == 1);
  BOOST_TEST(IsStoppingNotRun(decisions.front(), CallId{1}));
}

BOOST_AUTO_TEST_CASE(does_not_send_it_again_when_its_target_refuses_it) {
  const StartExchange first = Fill(20s);
  (void)Stop();
  const Decisions decisions = End(first, ExchangeResult::kRefused);
  BOOST_REQUIRE(decisions.size() == 1);
  BOOST_TEST(IsStoppingNotRun(decisions.front(), CallId{1}));
}

BOOST_AUTO_TEST_CASE(leaves_one_that_ends_in_time_alone) {
  (void)Fill(4s);
  BOOST_TEST(Stop().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
