#include <prometheus/registry.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "trefoilbend/forwarding/duty.h"

namespace trefoilbend::forwarding {

using namespace std::chrono_literals;

namespace {

/** A duty whose only target refuses connections. */
class Fixture {
 public:
  Fixture() {
    this->duty.Start(
        {.callers = &this->to_callers, .balancing = &this->to_balancing});
  }

  ~Fixture() { this->duty.Stop(); }

  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  /** Sends a call that may use one connection, and a new one after a while. */
  void Send(const std::uint64_t number, const core::Duration interval = 300ms) {
    auto request = std::make_shared<core::CallRequest>();
    request->method = "GET";
    request->path = "/";
    request->deadline = std::chrono::steady_clock::now() + 1h;
    BOOST_REQUIRE(this->duty.BalancingInlet().TryPush(
        StartExchange{.call = core::CallId{number},
                      .exchange = core::ExchangeId{number},
                      .target = core::InstanceName{"stock-1"},
                      .address = {.host = "127.0.0.1", .port = 1},
                      .request = std::move(request),
                      .connections = 1,
                      .connection_interval = interval}));
  }

  void Withdraw(const std::string& target) {
    BOOST_REQUIRE(
        this->duty.WithdrawalsInlet().TryPush({{core::InstanceName{target}}}));
  }

  [[nodiscard]] bool AwaitEnds(const std::size_t count) {
    const auto limit = std::chrono::steady_clock::now() + 20s;
    std::size_t ended = 0;
    while (ended < count && std::chrono::steady_clock::now() < limit) {
      ended += this->to_balancing.Drain([this](ToBalancing&& message) {
        this->last = std::get<ExchangeEnded>(message);
      });
      std::this_thread::sleep_for(1ms);
    }
    return ended == count;
  }

  core::Ring<ToCallers> to_callers{16};
  core::Ring<ToBalancing> to_balancing{16};
  prometheus::Registry registry;
  ForwardingDuty duty{{.max_calls = 4}, registry};
  ExchangeEnded last;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_call_that_waits_for_a_connection, Fixture)

BOOST_AUTO_TEST_CASE(gets_its_turn_after_another_one_failed) {
  Send(1);
  Send(2);
  BOOST_TEST(AwaitEnds(2));
}

/** DRAIN: it went to a target that had left while it waited. */
BOOST_AUTO_TEST_CASE(is_given_back_unsent_when_its_target_leaves) {
  Send(1, 1h);
  BOOST_REQUIRE(AwaitEnds(1));
  Send(2, 1h);
  Withdraw("stock-2");
  Withdraw("stock-1");
  BOOST_REQUIRE(AwaitEnds(1));
  BOOST_TEST((last.call == core::CallId{2}));
  BOOST_TEST((last.result == ExchangeResult::kNotSent));
}

/** LOST: it was sent late in a planned stop, and cut. */
BOOST_AUTO_TEST_CASE(is_given_back_unsent_when_it_is_withdrawn) {
  Send(1, 1h);
  BOOST_REQUIRE(AwaitEnds(1));
  Send(2, 1h);
  Send(3, 1h);
  BOOST_REQUIRE(
      duty.BalancingInlet().TryPush(WithdrawExchange{core::ExchangeId{3}}));
  BOOST_REQUIRE(AwaitEnds(1));
  BOOST_TEST((last.call == core::CallId{3}));
  BOOST_TEST((last.result == ExchangeResult::kNotSent));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::forwarding
