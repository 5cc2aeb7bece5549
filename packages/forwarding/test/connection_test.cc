#include <prometheus/registry.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
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

  /** Sends a call that may use one connection, and a new one each 300 ms. */
  void Send(const std::uint64_t number) {
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
                      .connection_interval = 300ms}));
  }

  [[nodiscard]] bool AwaitEnds(const std::size_t count) {
    const auto limit = std::chrono::steady_clock::now() + 20s;
    std::size_t ended = 0;
    while (ended < count && std::chrono::steady_clock::now() < limit) {
      ended += this->to_balancing.Drain([](ToBalancing&&) {});
      std::this_thread::sleep_for(1ms);
    }
    return ended == count;
  }

  core::Ring<ToCallers> to_callers{16};
  core::Ring<ToBalancing> to_balancing{16};
  prometheus::Registry registry;
  ForwardingDuty duty{{.max_calls = 4}, registry};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_call_that_waits_for_a_connection, Fixture)

BOOST_AUTO_TEST_CASE(gets_its_turn_after_another_one_failed) {
  Send(1);
  Send(2);
  BOOST_TEST(AwaitEnds(2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::forwarding
