#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::balancing {

using namespace std::chrono_literals;

namespace {

/** A service with one target; tests change the target, its state or the outage
 * of its data centre, and configure the dispatcher again. */
struct Fixture {
  Fixture() {
    target.name = core::InstanceName{"stock-1"};
    target.service = core::ServiceName{"stock"};
    target.data_centre = core::DataCentreName{"xela-1"};
    target.address = {.host = "127.0.0.1", .port = 1};
    target.slots = 6;
    target.connections = 200;
    Configure();
  }

  Decisions Configure() {
    inventory::Configuration::Builder builder;
    builder.Put(inventory::Service{.name = target.service, .cold_allowance = 1})
        .Put(target);
    if (out_of_service) {
      builder.Put(inventory::Outage{target.data_centre});
    }
    auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
    listed->push_back({target.name, state});
    return dispatcher.Configure({builder.Build(), listed}, now);
  }

  [[nodiscard]] Decision Submit() {
    auto request = std::make_shared<core::CallRequest>();
    request->service = target.service;
    request->deadline = now + 10s;
    return dispatcher.Submit({core::CallId{++last_call}, request}, now).at(0);
  }

  [[nodiscard]] bool IsRefused() {
    return std::holds_alternative<CallRefused>(this->Submit());
  }

  inventory::Instance target;
  bool out_of_service = false;
  platform::InstanceState state = platform::InstanceState::kLive;
  Dispatcher dispatcher{DispatcherOptions{}};
  std::uint64_t last_call = 0;
  core::TimePoint now{10s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_dispatcher_that_gets_a_new_configuration, Fixture)

BOOST_AUTO_TEST_CASE(sends_calls_to_the_new_address_of_a_target) {
  target.address.port = 2;
  Configure();
  BOOST_TEST(std::get<forwarding::StartExchange>(Submit()).address.port == 2);
}

BOOST_AUTO_TEST_CASE(sends_no_call_to_a_target_that_leaves) {
  state = platform::InstanceState::kLeaving;
  Configure();
  BOOST_TEST(IsRefused());
}

/** Incident DRAIN: calls that waited for a connection were sent to targets that
 * had left in the meantime. */
BOOST_AUTO_TEST_CASE(takes_back_what_waits_for_a_target_that_leaves) {
  BOOST_TEST(Configure().empty());
  state = platform::InstanceState::kLeaving;
  const Decisions decisions = Configure();
  BOOST_REQUIRE(decisions.size() == 1);
  BOOST_TEST((std::get<forwarding::WithdrawTargets>(decisions[0]).targets ==
              std::vector<core::InstanceName>{target.name}));
  BOOST_TEST(Configure().empty());
}

BOOST_AUTO_TEST_CASE(
    takes_back_what_waits_for_a_data_centre_that_is_out_of_service) {
  out_of_service = true;
  const Decisions decisions = Configure();
  BOOST_REQUIRE(decisions.size() == 1);
  BOOST_TEST(std::holds_alternative<forwarding::WithdrawTargets>(decisions[0]));
}

BOOST_AUTO_TEST_CASE(
    sends_no_call_to_a_data_centre_while_it_is_out_of_service) {
  out_of_service = true;
  Configure();
  BOOST_TEST(IsRefused());
  out_of_service = false;
  Configure();
  BOOST_TEST(!IsRefused());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
