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

/** Entries that share nothing but their names, and one cold target. */
struct ColdFixture {
  ColdFixture() {
    for (const core::InstanceName& name : EntryNames()) {
      this->entries.push_back(
          std::make_unique<Dispatcher>(DispatcherOptions{.self = name}));
    }
    this->Configure(this->now + 60s);
  }

  /** The target says until when it is cold. */
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

  /** Every entry sends what it may for a time; returns how many were sent. */
  int SendFor(const std::chrono::milliseconds time) {
    int sent = 0;
    for (const core::TimePoint end = this->now + time; this->now < end;
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

BOOST_AUTO_TEST_CASE(gets_from_all_entries_together_no_more_than_it_bears) {
  constexpr double kOvershoot = 1.5;
  constexpr int kSlack = 5;
  for (int second = 0; second < 10; ++second) {
    BOOST_TEST(SendFor(1s) <= kColdRate * kOvershoot + kSlack);
  }
}

BOOST_AUTO_TEST_CASE(that_started_again_under_its_name_is_cold_again) {
  now += 61s;
  BOOST_REQUIRE(SendFor(1s) > 100);
  Configure(now + 60s);
  BOOST_TEST(SendFor(1s) < 20);
}

BOOST_AUTO_TEST_CASE(gets_some_work_all_the_same) {
  BOOST_TEST(SendFor(10s) >= 20);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(further_attempts)

BOOST_AUTO_TEST_CASE(of_all_entries_stay_within_the_fleets_allowance) {
  constexpr FleetAttemptBudget kFleetBudget{.attempts = 58, .window = 10s};
  for (const std::size_t entries : {1, 14, 19, 130}) {
    std::vector<AttemptBudget> budgets(entries, AttemptBudget{0.1});
    for (AttemptBudget& budget : budgets) {
      budget.LimitToFleetShare(kFleetBudget, entries);
    }
    std::uint32_t taken = 0;
    for (core::TimePoint now{100s}; now < core::TimePoint{110s}; now += 20ms) {
      for (AttemptBudget& budget : budgets) {
        taken += budget.TryWithdraw(now) ? 1 : 0;
      }
    }
    const auto max_attempts =
        std::max<std::size_t>(kFleetBudget.attempts, entries);
    BOOST_TEST(taken <= max_attempts, entries << " entries took " << taken);
  }
}

BOOST_AUTO_TEST_CASE(are_paid_for_by_calls_as_well) {
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
