#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "trefoilbend/balancing/attempt_budget.h"
#include "trefoilbend/balancing/cold_rate_limiter.h"
#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::balancing {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kEntries = 19;

std::vector<core::InstanceName> EntryNames() {
  std::vector<core::InstanceName> names;
  for (std::size_t number = 0; number < kEntries; ++number) {
    names.emplace_back("entry-" + std::to_string(number));
  }
  return names;
}

/** Entries that know each other's names but exchange no messages, and one cold
 * target. */
struct ColdFixture {
  ColdFixture() {
    for (const core::InstanceName& name : EntryNames()) {
      this->entries.push_back(
          std::make_unique<Dispatcher>(DispatcherOptions{.self = name}));
    }
    this->Configure(this->now + 60s);
  }

  /** Applies a list in which the target reports itself cold until the given
   * time. */
  void Configure(const core::TimePoint cold_until) {
    inventory::Configuration::Builder builder;
    inventory::Service service{.name = core::ServiceName{"stock"}};
    service.cold_rate = kColdRate;
    service.warm_up = 3s;
    builder.Put(service);
    inventory::Instance target;
    target.name = core::InstanceName{"cold"};
    target.service = core::ServiceName{"stock"};
    target.slots = 4;
    target.connections = 260;
    builder.Put(target);
    auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
    listed->push_back({.name = target.name, .cold_until = cold_until});
    for (const core::InstanceName& name : EntryNames()) {
      builder.Put(
          inventory::Instance{.name = name, .role = inventory::Role::kEntry});
      listed->push_back({.name = name});
    }
    const auto configuration = builder.Build();
    for (auto& entry : this->entries) {
      (void)entry->Configure({configuration, listed}, this->now);
    }
  }

  /** Submits a call to each entry every 10 ms for the given duration; returns
   * the number of exchanges started. */
  int SendFor(const std::chrono::milliseconds duration) {
    int sent = 0;
    for (const core::TimePoint end = this->now + duration; this->now < end;
         this->now += 10ms) {
      for (auto& entry : this->entries) {
        auto request = std::make_shared<core::CallRequest>();
        request->service = core::ServiceName{"stock"};
        request->deadline = this->now + 5ms;
        this->call = this->call.Next();
        for (const Decision& decision :
             entry->Submit({this->call, request}, this->now)) {
          if (const auto* started =
                  std::get_if<forwarding::StartExchange>(&decision)) {
            ++sent;
            (void)entry->OnExchangeEnded(
                {.call = started->call,
                 .exchange = started->exchange,
                 .target = started->target,
                 .result = forwarding::ExchangeResult::kAnswered,
                 .status = 200,
                 .latency = 10ms},
                this->now);
          }
        }
        (void)entry->Tick(this->now + 6ms);
      }
    }
    return sent;
  }

  static constexpr std::uint32_t kColdRate = 5;
  std::vector<std::unique_ptr<Dispatcher>> entries;
  core::CallId call;
  core::TimePoint now{100s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_cold_target, ColdFixture)

BOOST_AUTO_TEST_CASE(
    gets_no_more_calls_than_its_cold_rate_from_all_entries_together) {
  constexpr double kOvershoot = 1.5;
  constexpr int kSlack = 5;
  for (int second = 0; second < 10; ++second) {
    BOOST_TEST(SendFor(1s) <= kColdRate * kOvershoot + kSlack);
  }
}

BOOST_AUTO_TEST_CASE(that_restarts_under_the_same_name_is_cold_again) {
  now += 61s;
  BOOST_REQUIRE(SendFor(1s) > 100);
  Configure(now + 60s);
  BOOST_TEST(SendFor(1s) < 20);
}

BOOST_AUTO_TEST_CASE(still_gets_some_calls) { BOOST_TEST(SendFor(10s) >= 20); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(further_attempts)

BOOST_AUTO_TEST_CASE(of_all_entries_stay_within_the_budget_of_the_fleet) {
  constexpr FleetAttemptBudget kFleetBudget{.attempts = 58, .window = 10s};
  for (const std::size_t entries : {1, 14, 19, 130}) {
    std::vector<AttemptBudget> budgets(entries, AttemptBudget{0.1});
    for (AttemptBudget& budget : budgets) {
      budget.LimitToFleetShare(kFleetBudget, entries);
    }
    std::uint32_t withdrawn_attempts = 0;
    for (core::TimePoint now{100s}; now < core::TimePoint{110s}; now += 20ms) {
      for (AttemptBudget& budget : budgets) {
        withdrawn_attempts += budget.TryWithdraw(now) ? 1 : 0;
      }
    }
    const auto max_attempts =
        std::max<std::size_t>(kFleetBudget.attempts, entries);
    BOOST_TEST(
        withdrawn_attempts <= max_attempts,
        entries << " entries sent further attempts: " << withdrawn_attempts);
  }
}

BOOST_AUTO_TEST_CASE(are_also_funded_by_calls) {
  AttemptBudget budget{0.2};
  budget.LimitToFleetShare({.attempts = 14, .window = 10s}, 14);
  core::TimePoint now{100s};
  while (budget.TryWithdraw(now)) {
  }
  for (int call = 0; call < 5; ++call) {
    budget.Deposit();
  }
  BOOST_TEST(budget.TryWithdraw(now));
  BOOST_TEST(!budget.TryWithdraw(now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
