#include "trefoilbend/callers/router.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace trefoilbend::callers {

namespace {

using namespace std::chrono_literals;
using core::ServiceName;

inventory::Route Route(const std::string& name, const std::string& path) {
  inventory::Route route{.name = core::RouteName{name},
                         .service = ServiceName{"stock"},
                         .path = path};
  route.host = "a.example";
  return route;
}

struct Fixture {
  Fixture() {
    inventory::Route look = Route("look", "/look/");
    look.idempotent = true;
    look.timeout = 800ms;
    look.objective = 200ms;
    look.attempts = 2;
    look.rank = 2;
    this->builder.Put(look);
    inventory::Route urgent = Route("urgent", "/look/now/");
    urgent.rank = 1;
    this->builder.Put(urgent);
    inventory::Route split = Route("split", "/split/");
    split.service = {};
    split.split = {{.service = ServiceName{"stock"}, .weight = 90},
                   {.service = ServiceName{"catalogue"}, .weight = 10}};
    this->builder.Put(split);
    this->configuration = this->builder.Build();
    this->router.Configure(this->configuration);
  }

  [[nodiscard]] std::optional<core::CallRequest> Find(
      const std::string& host, const std::string& path,
      const Wishes& wishes = {}) {
    core::CallRequest request;
    request.method = "GET";
    request.host = host;
    request.path = path;
    return this->router.Route(wishes, core::TimePoint{}, request)
               ? std::optional{request}
               : std::nullopt;
  }

  inventory::Configuration::Builder builder;
  inventory::ConfigurationPtr configuration;
  Router router{1};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_request_to_a_host_with_routes, Fixture)

BOOST_AUTO_TEST_CASE(has_the_rules_of_the_longest_prefix) {
  BOOST_TEST(Find("a.example", "/look/7?x=1")->route ==
             core::RouteName{"look"});
  BOOST_TEST(Find("a.example", "/look/now/7")->route ==
             core::RouteName{"urgent"});
}

BOOST_AUTO_TEST_CASE(takes_over_what_the_route_says) {
  const auto request = Find("a.example:80", "/look/7");
  BOOST_REQUIRE(request);
  BOOST_TEST(request->service == ServiceName{"stock"});
  BOOST_TEST(request->idempotent);
  BOOST_TEST((request->deadline == core::TimePoint{} + 800ms));
  BOOST_TEST((request->objective == 200ms));
  BOOST_TEST(request->attempts == 2U);
}

BOOST_AUTO_TEST_CASE(ends_with_the_caller_if_that_waits_for_less) {
  BOOST_TEST((Find("a.example", "/look/7", {.timeout = 300ms})->deadline ==
              core::TimePoint{} + 300ms));
}

BOOST_AUTO_TEST_CASE(is_urgent_if_others_rank_below_it) {
  BOOST_TEST(
      (Find("a.example", "/look/now/7")->urgency == core::Urgency::kUrgent));
  BOOST_TEST(
      (Find("a.example", "/look/7")->urgency == core::Urgency::kOrdinary));
}

BOOST_AUTO_TEST_CASE(that_no_prefix_begins_has_no_route) {
  BOOST_TEST(!Find("a.example", "/lookout").has_value());
  BOOST_TEST(!Find("b.example", "/look/7").has_value());
}

BOOST_AUTO_TEST_CASE(is_divided_among_services_by_their_weights) {
  constexpr int kRequests = 4'000;
  std::map<std::string, int> counts;
  for (int request = 0; request < kRequests; ++request) {
    ++counts[Find("a.example", "/split/7")->service.Text()];
  }
  BOOST_TEST(counts["catalogue"] > kRequests * 7 / 100);
  BOOST_TEST(counts["catalogue"] < kRequests * 13 / 100);
}

BOOST_AUTO_TEST_CASE(is_divided_so_by_many_entries_with_few_requests_each) {
  constexpr int kEntries = 19;
  constexpr int kRequests = 17;
  int minor = 0;
  for (int entry = 0; entry < kEntries; ++entry) {
    router = Router{static_cast<std::uint64_t>(entry)};
    router.Configure(configuration);
    for (int request = 0; request < kRequests; ++request) {
      const auto found = Find("a.example", "/split/7");
      BOOST_REQUIRE(found.has_value());
      minor += found->service.Text() == "catalogue" ? 1 : 0;
    }
  }
  BOOST_TEST(minor > kEntries * kRequests * 7 / 100);
  BOOST_TEST(minor < kEntries * kRequests * 13 / 100);
}

BOOST_AUTO_TEST_CASE(keeps_its_place_when_the_configuration_changes) {
  int minor = 0;
  for (int request = 0; request < 100; ++request) {
    router.Configure(configuration);
    const auto found = Find("a.example", "/split/7");
    BOOST_REQUIRE(found.has_value());
    minor += found->service.Text() == "catalogue" ? 1 : 0;
  }
  BOOST_TEST(minor >= 9);
  BOOST_TEST(minor <= 11);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::callers
