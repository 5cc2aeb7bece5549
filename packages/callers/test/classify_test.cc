#include "trefoilbend/callers/classify.h"

#include <boost/test/unit_test.hpp>

namespace trefoilbend::callers {

namespace {

using namespace std::chrono_literals;

struct Fixture {
  Fixture() {
    this->service.timeout = 5s;
    this->lookup.path = "/lookup";
    this->lookup.idempotent = true;
    this->lookup.urgent_allowed = true;
    this->lookup.timeout = 1s;
    this->view.service = &this->service;
    this->view.routes = {&this->lookup};
  }

  [[nodiscard]] core::CallRequest Apply(const std::string& method,
                                        const std::string& path,
                                        const Wishes& wishes) const {
    core::CallRequest request;
    request.method = method;
    request.path = path;
    ApplyRules(this->view, wishes, core::TimePoint{}, request);
    return request;
  }

  inventory::Service service;
  inventory::Route lookup;
  inventory::ServiceView view;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(the_rules_of_a_service, Fixture)

BOOST_AUTO_TEST_CASE(make_safe_methods_idempotent_and_others_not) {
  BOOST_TEST(Apply("GET", "/other", {}).idempotent);
  BOOST_TEST(!Apply("POST", "/other", {}).idempotent);
}

BOOST_AUTO_TEST_CASE(let_a_route_say_otherwise) {
  BOOST_TEST(Apply("POST", "/lookup?plate=7", {}).idempotent);
}

BOOST_AUTO_TEST_CASE(allow_urgent_calls_on_their_routes_only) {
  BOOST_TEST((Apply("GET", "/lookup", {.urgent = true}).urgency ==
              core::Urgency::kUrgent));
  BOOST_TEST((Apply("GET", "/other", {.urgent = true}).urgency ==
              core::Urgency::kOrdinary));
}

BOOST_AUTO_TEST_CASE(take_the_shortest_timeout) {
  BOOST_TEST((Apply("GET", "/other", {}).deadline == core::TimePoint{5s}));
  BOOST_TEST((Apply("GET", "/lookup", {}).deadline == core::TimePoint{1s}));
  BOOST_TEST((Apply("GET", "/lookup", {.timeout = 20ms}).deadline ==
              core::TimePoint{20ms}));
  BOOST_TEST((Apply("GET", "/lookup", {.timeout = 1h}).deadline ==
              core::TimePoint{1s}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::callers
