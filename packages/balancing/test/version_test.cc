#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::balancing {

using namespace std::chrono_literals;

namespace {

const core::ServiceName kStock{"stock"};

/** Service that is being released, with one target of each version. */
struct Fixture {
  Dispatcher dispatcher{DispatcherOptions{.queue = {.length = 16}}};
  core::TimePoint now{10s};
  std::uint64_t last_call = 0;
  bool carries_unnamed_versions = false;
  std::vector<core::VersionName> withdrawn;
  /** Further versions that have a target each. */
  std::vector<std::string> further;

  /** Sets the new version's share of the traffic, in thousandths, and whether
   * the old version's target is live. */
  void Configure(const std::uint32_t share, const bool old_is_live = true) {
    inventory::Configuration::Builder builder;
    builder.Put(inventory::Service{
        .name = kStock,
        .version = core::VersionName{"1"},
        .carries_unnamed_versions = this->carries_unnamed_versions});
    builder.Put(inventory::Release{.name = kStock,
                                   .version = core::VersionName{"2"},
                                   .state = inventory::ReleaseState::kMoving,
                                   .share = share,
                                   .withdrawn = this->withdrawn});
    auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
    std::vector<std::string> versions{"1", "2"};
    versions.insert(versions.end(), this->further.begin(), this->further.end());
    for (const std::string& version : versions) {
      inventory::Instance target;
      target.name = core::InstanceName{"stock-" + version};
      target.service = kStock;
      target.version = core::VersionName{version};
      target.slots = 1;
      target.connections = 1'000;
      builder.Put(target);
      if (old_is_live || version == "2") {
        listed->push_back({target.name, platform::InstanceState::kLive});
      }
    }
    (void)this->dispatcher.Configure({builder.Build(), listed}, this->now);
  }

  Decision Submit() {
    auto request = std::make_shared<core::CallRequest>();
    request->service = kStock;
    request->idempotent = true;
    request->deadline = this->now + 1s;
    const Decisions decisions = this->dispatcher.Submit(
        {core::CallId{++this->last_call}, request}, this->now);
    BOOST_REQUIRE(decisions.size() == 1);
    return decisions.front();
  }

  /** Starts calls and returns their number by target. */
  std::map<std::string, int> StartCalls(const int calls) {
    std::map<std::string, int> started;
    for (int call = 0; call < calls; ++call) {
      ++started[std::get<forwarding::StartExchange>(this->Submit())
                    .target.Text()];
    }
    return started;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_service_with_targets_of_two_versions, Fixture)

BOOST_AUTO_TEST_CASE(uses_only_the_services_version_before_the_first_step) {
  Configure(0);
  BOOST_TEST(StartCalls(100)["stock-2"] == 0);
}

BOOST_AUTO_TEST_CASE(gives_the_new_version_the_share_of_its_release) {
  Configure(100);
  const auto started = StartCalls(100);
  BOOST_TEST(started.at("stock-2") == 10);
  BOOST_TEST(started.at("stock-1") == 90);
}

BOOST_AUTO_TEST_CASE(retries_a_call_of_the_new_version_on_the_old_one) {
  Configure(inventory::kWholeShare);
  const auto first = std::get<forwarding::StartExchange>(Submit());
  BOOST_TEST(first.target.Text() == "stock-2");
  const Decisions next = dispatcher.OnExchangeEnded(
      {.call = first.call,
       .exchange = first.exchange,
       .target = first.target,
       .result = forwarding::ExchangeResult::kBrokenBeforeAnswer,
       .load = std::nullopt},
      now);
  BOOST_REQUIRE(next.size() == 1);
  const auto& second = std::get<forwarding::StartExchange>(next.front());
  BOOST_TEST(second.target.Text() == "stock-1");
}

BOOST_AUTO_TEST_SUITE(after_an_order_that_gave_way_to_another)

/** EXPOSURE: the targets of a bad version counted as the old version's. */
BOOST_AUTO_TEST_CASE(uses_no_target_of_the_version_that_gave_way) {
  carries_unnamed_versions = true;
  withdrawn = {core::VersionName{"0"}};
  further = {"0"};
  Configure(100);
  const auto started = StartCalls(100);
  BOOST_TEST(!started.contains("stock-0"));
  BOOST_TEST(started.at("stock-2") == 10);
  BOOST_TEST(started.at("stock-1") == 90);
}

BOOST_AUTO_TEST_CASE(takes_a_target_out_when_its_version_gives_way) {
  carries_unnamed_versions = true;
  further = {"0"};
  Configure(0);
  BOOST_TEST(StartCalls(100).contains("stock-0"));
  withdrawn = {core::VersionName{"0"}};
  Configure(0);
  BOOST_TEST(!StartCalls(100).contains("stock-0"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_old_targets_are_not_live)

BOOST_AUTO_TEST_CASE(
    refuses_calls_as_not_run_instead_of_flooding_the_new_version) {
  Configure(10, false);
  const auto refused = std::get<CallRefused>(Submit());
  BOOST_TEST((refused.refusal.reason == core::RefusalReason::kNoTarget));
  BOOST_TEST((refused.refusal.run == core::RunState::kNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
