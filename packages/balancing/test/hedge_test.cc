#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::balancing {

using namespace std::chrono_literals;
using core::CallId;
using forwarding::CancelExchange;
using forwarding::ExchangeResult;
using forwarding::StartExchange;

namespace {

/** Dispatcher with two live targets of one slot each. */
class Fixture {
 public:
  Fixture() {
    inventory::Configuration::Builder builder;
    builder.Put(inventory::Service{.name = core::ServiceName{"stock"}});
    auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
    for (const std::string name : {"a", "b"}) {
      inventory::Instance target;
      target.name = core::InstanceName{name};
      target.service = core::ServiceName{"stock"};
      target.slots = 1;
      target.connections = 4;
      builder.Put(target);
      listed->push_back({target.name, platform::InstanceState::kLive});
    }
    (void)this->dispatcher.Configure({builder.Build(), listed}, this->now);
  }

  StartExchange Submit(const std::uint64_t id, const bool idempotent) {
    auto request = std::make_shared<core::CallRequest>();
    request->service = core::ServiceName{"stock"};
    request->idempotent = idempotent;
    request->deadline = this->now + 10s;
    const Decisions decisions =
        this->dispatcher.Submit({CallId{id}, request}, this->now);
    BOOST_REQUIRE(decisions.size() == 1);
    return std::get<StartExchange>(decisions.front());
  }

  Decisions AdvanceTime(const std::chrono::milliseconds time) {
    this->now += time;
    return this->dispatcher.Tick(this->now);
  }

  Decisions EndExchange(const StartExchange& exchange,
                        const ExchangeResult result,
                        const std::uint16_t status = 200) {
    return this->dispatcher.OnExchangeEnded({.call = exchange.call,
                                             .exchange = exchange.exchange,
                                             .target = exchange.target,
                                             .result = result,
                                             .status = status,
                                             .load = std::nullopt},
                                            this->now);
  }

  Dispatcher dispatcher{DispatcherOptions{.queue = {.length = 2}}};
  core::TimePoint now{10s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_call_whose_answer_is_late, Fixture)

BOOST_AUTO_TEST_CASE(is_sent_to_another_target_as_well) {
  const auto first = Submit(1, true);
  BOOST_TEST(AdvanceTime(5ms).empty());
  const auto decisions = AdvanceTime(1s);
  BOOST_REQUIRE(decisions.size() == 1);
  const auto hedge = std::get<StartExchange>(decisions.front());
  BOOST_TEST(hedge.target != first.target);
  BOOST_TEST((hedge.beside == first.exchange));
}

/** LOST: one of the two was sent late in a planned stop, and cut. */
BOOST_AUTO_TEST_CASE(is_taken_back_from_both_when_a_stop_begins) {
  const auto first = Submit(1, true);
  const auto hedge = std::get<StartExchange>(AdvanceTime(1s).at(0));
  const Decisions decisions = dispatcher.Stop({now + 1s}, now);
  BOOST_REQUIRE(decisions.size() == 2);
  BOOST_TEST((std::get<forwarding::WithdrawExchange>(decisions[0]).exchange ==
              first.exchange));
  BOOST_TEST((std::get<forwarding::WithdrawExchange>(decisions[1]).exchange ==
              hedge.exchange));
}

BOOST_AUTO_TEST_CASE(is_never_hedged_if_it_is_non_idempotent) {
  (void)Submit(1, false);
  BOOST_TEST(AdvanceTime(5s).empty());
}

BOOST_AUTO_TEST_CASE(is_not_hedged_once_its_long_answer_has_begun) {
  const auto first = Submit(1, true);
  dispatcher.OnExchangeBegan({first.call, first.exchange});
  BOOST_TEST(AdvanceTime(1s).empty());
}

BOOST_AUTO_TEST_CASE(is_not_hedged_while_targets_shed_load) {
  const auto shed = Submit(1, true);
  (void)Submit(2, true);
  now += 200ms;
  (void)EndExchange(shed, ExchangeResult::kAnswered, 503);
  BOOST_TEST(AdvanceTime(0ms).empty());
}

BOOST_AUTO_TEST_CASE(is_hedged_only_within_the_budget) {
  std::size_t hedges = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    const auto first = Submit(id, true);
    const auto decisions = AdvanceTime(200ms);
    for (const Decision& decision : decisions) {
      ++hedges;
      (void)EndExchange(std::get<StartExchange>(decision),
                        ExchangeResult::kCancelled);
    }
    (void)EndExchange(first, ExchangeResult::kAnswered);
  }
  BOOST_TEST(hedges > 0U);
  // Initial balance of 10, one per 10 of the 100 calls, and one per second of
  // the 20 s.
  BOOST_TEST(hedges <= 10U + 10U + 20U);
}

BOOST_AUTO_TEST_SUITE(and_that_was_hedged)

BOOST_AUTO_TEST_CASE(is_over_when_both_exchanges_have_ended) {
  const auto first = Submit(1, true);
  const auto hedge = std::get<StartExchange>(AdvanceTime(1s).front());
  BOOST_TEST(EndExchange(first, ExchangeResult::kCancelled).empty());
  BOOST_TEST(EndExchange(hedge, ExchangeResult::kAnswered).empty());
  BOOST_TEST(dispatcher.CallCount() == 0U);
}

BOOST_AUTO_TEST_CASE(waits_for_the_hedge_when_the_first_exchange_breaks) {
  const auto first = Submit(1, true);
  const auto hedge = std::get<StartExchange>(AdvanceTime(1s).front());
  BOOST_TEST(EndExchange(first, ExchangeResult::kBrokenBeforeAnswer).empty());
  BOOST_TEST(EndExchange(hedge, ExchangeResult::kAnswered).empty());
  BOOST_TEST(dispatcher.CallCount() == 0U);
}

BOOST_AUTO_TEST_CASE(has_both_exchanges_cancelled_when_its_caller_cancels_it) {
  const auto first = Submit(1, true);
  const auto hedge = std::get<StartExchange>(AdvanceTime(1s).front());
  const auto cancelled = dispatcher.Cancel({CallId{1}}, now);
  BOOST_REQUIRE(cancelled.size() == 2);
  BOOST_TEST(std::get<CancelExchange>(cancelled[0]).exchange == first.exchange);
  BOOST_TEST(std::get<CancelExchange>(cancelled[1]).exchange == hedge.exchange);
  (void)EndExchange(first, ExchangeResult::kCancelled);
  (void)EndExchange(hedge, ExchangeResult::kCancelled);
  BOOST_TEST(dispatcher.CallCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
