#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "trefoilbend/balancing/cold_share.h"
#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::balancing {

using namespace std::chrono_literals;
using forwarding::ExchangeResult;
using forwarding::LoadReport;
using forwarding::StartExchange;
using forwarding::StartProbe;

namespace {

constexpr std::size_t kEntries = 17;
/** Health checks a second that a target bears from all entries together. */
constexpr std::uint32_t kProbeBudget = 4;

std::vector<core::InstanceName> EntryNames() {
  std::vector<core::InstanceName> names;
  for (std::size_t number = 0; number < kEntries; ++number) {
    names.emplace_back("entry-" + std::to_string(number));
  }
  return names;
}

/** Entries that share nothing, a warm target and one that joins later. */
class Fixture {
 public:
  Fixture() {
    for (const core::InstanceName& name : EntryNames()) {
      this->entries.push_back(
          std::make_unique<Dispatcher>(DispatcherOptions{.self = name}));
    }
    this->Configure({"warm"});
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      this->End(entry, this->Submit(entry).at(0), false);
    }
    this->now += 1s;
  }

  void Configure(const std::vector<std::string>& live) {
    inventory::Configuration::Builder builder;
    builder.Put(inventory::Service{.name = core::ServiceName{"stock"},
                                   .cold_allowance = 3,
                                   .probe_budget = kProbeBudget,
                                   .health_path = this->health_path});
    auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
    for (const std::string name : {"warm", "late"}) {
      inventory::Instance target;
      target.name = core::InstanceName{name};
      target.service = core::ServiceName{"stock"};
      target.slots = 6;
      target.connections = 200;
      builder.Put(target);
    }
    for (const core::InstanceName& name : EntryNames()) {
      builder.Put(
          inventory::Instance{.name = name, .role = inventory::Role::kEntry});
      listed->push_back({name, platform::InstanceState::kLive});
    }
    for (const std::string& name : live) {
      listed->push_back(
          {core::InstanceName{name}, platform::InstanceState::kLive});
    }
    const configuration::Update update{builder.Build(), listed};
    for (const auto& entry : this->entries) {
      (void)entry->Configure(update, this->now);
    }
  }

  std::vector<StartExchange> Submit(const std::size_t entry) {
    auto request = std::make_shared<core::CallRequest>();
    request->service = core::ServiceName{"stock"};
    request->deadline = this->now + 10s;
    request->idempotent = this->idempotent;
    std::vector<StartExchange> started;
    for (const Decision& decision : this->entries[entry]->Submit(
             {core::CallId{++this->last_call}, request}, this->now)) {
      started.push_back(std::get<StartExchange>(decision));
    }
    return started;
  }

  std::vector<StartExchange> End(const std::size_t entry,
                                 const StartExchange& exchange,
                                 const bool cold) {
    std::vector<StartExchange> started;
    for (const Decision& decision :
         this->entries[entry]->OnExchangeEnded({.call = exchange.call,
         .exchange = exchange.exchange,
         .target = exchange.target,
         .result = ExchangeResult::kAnswered,
         .status = 200,
         .latency = 10ms,
         .load = LoadReport{.in_flight = 6, .cold = cold}},
                                               this->now)) {
      started.push_back(std::get<StartExchange>(decision));
    }
    return started;
  }

  Decisions Break(const std::size_t entry, const StartExchange& exchange) {
    return this->entries[entry]->OnExchangeEnded(
        {.call = exchange.call,
         .exchange = exchange.exchange,
         .target = exchange.target,
         .result = ExchangeResult::kBrokenBeforeAnswer,
         .status = 0,
         .latency = 1ms},
        this->now);
  }

  /** Sends calls through all entries; returns the exchanges with the late
   * target by entry. */
  std::vector<std::pair<std::size_t, StartExchange>> Flood(const int calls) {
    std::vector<std::pair<std::size_t, StartExchange>> late;
    for (int call = 0; call < calls; ++call) {
      for (std::size_t entry = 0; entry < kEntries; ++entry) {
        for (const StartExchange& exchange : this->Submit(entry)) {
          if (exchange.target.Text() == "late") {
            late.emplace_back(entry, exchange);
          }
        }
      }
    }
    return late;
  }

  /** Lets all entries look at the time; returns the health checks of the late
   * target by entry. */
  std::vector<std::pair<std::size_t, StartProbe>> Tick() {
    std::vector<std::pair<std::size_t, StartProbe>> probes;
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      for (const Decision& decision : this->entries[entry]->Tick(this->now)) {
        if (const auto* probe = std::get_if<StartProbe>(&decision)) {
          BOOST_TEST(probe->target.Text() == "late");
          BOOST_TEST(probe->path == this->health_path);
          probes.emplace_back(entry, *probe);
        }
      }
    }
    return probes;
  }

  void Answer(const std::size_t entry, const StartProbe& probe,
              const bool cold) {
    forwarding::HealthReport report{.healthy = true, .name = {}};
    report.load = LoadReport{.cold = cold};
    (void)this->entries[entry]->OnProbeEnded(
        {.probe = probe.probe, .target = probe.target, .report = report},
        this->now);
  }

  std::vector<std::unique_ptr<Dispatcher>> entries;
  std::string health_path;
  bool idempotent = false;
  std::uint64_t last_call = 0;
  core::TimePoint now{10s};
};

/** The same fleet with calls that may be hedged. */
class FixtureWithHedges : public Fixture {
 public:
  FixtureWithHedges() {
    this->idempotent = true;
    this->Configure({"warm", "late"});
  }

  /** Lets the calls be late; returns their hedges. */
  std::vector<StartExchange> Hedge() {
    std::vector<StartExchange> hedges;
    this->now += 1s;
    for (const auto& entry : this->entries) {
      for (const Decision& decision : entry->Tick(this->now)) {
        const auto* hedge = std::get_if<StartExchange>(&decision);
        if (hedge != nullptr && hedge->beside) {
          hedges.push_back(*hedge);
        }
      }
    }
    return hedges;
  }
};

/** The same fleet, where targets answer health checks. */
class FixtureWithHealthChecks : public Fixture {
 public:
  FixtureWithHealthChecks() {
    this->health_path = "/health";
    this->Configure({"warm", "late"});
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(the_shares_in_a_cold_target)

BOOST_AUTO_TEST_CASE(sum_up_to_what_it_bears) {
  for (const std::uint32_t allowance : {1U, 3U, 17U, 40U}) {
    std::uint32_t sum = 0;
    for (const core::InstanceName& self : EntryNames()) {
      sum += ComputeColdShare(core::InstanceName{"late"}, self, EntryNames(),
                              allowance)
                 .calls;
    }
    BOOST_TEST(sum == allowance);
  }
}

BOOST_AUTO_TEST_CASE(stay_where_they_are_when_an_entry_without_one_leaves) {
  std::vector<core::InstanceName> left = EntryNames();
  const core::InstanceName target{"late"};
  std::erase_if(left, [&](const core::InstanceName& entry) {
    return ComputeColdShare(target, entry, EntryNames(), 3).rank == 16;
  });
  for (const core::InstanceName& self : left) {
    BOOST_TEST((ComputeColdShare(target, self, left, 3) ==
                ComputeColdShare(target, self, EntryNames(), 3)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_target_that_joins_a_running_fleet, Fixture)

BOOST_AUTO_TEST_CASE(is_warm_to_an_entry_that_starts_before_its_list_comes) {
  constexpr int kCalls = 10;
  entries.clear();
  entries.push_back(std::make_unique<Dispatcher>(
      DispatcherOptions{.self = EntryNames().front()}));
  Configure({});
  Configure({"warm"});
  int started = 0;
  for (int call = 0; call < kCalls; ++call) {
    started += static_cast<int>(Submit(0).size());
  }
  BOOST_TEST(started == kCalls);
}

BOOST_AUTO_TEST_CASE(gets_no_more_than_it_bears_from_all_entries_together) {
  Configure({"warm", "late"});
  BOOST_TEST(Flood(20).size() == 3U);
}

BOOST_AUTO_TEST_CASE(gets_no_more_while_it_reports_that_it_is_cold) {
  Configure({"warm", "late"});
  auto late = Flood(5);
  for (int round = 0; round < 50; ++round) {
    for (const auto& [entry, exchange] : late) {
      (void)End(entry, exchange, true);
    }
    now += 10ms;
    late = Flood(1);
    BOOST_TEST(late.size() <= 3U);
  }
}

BOOST_AUTO_TEST_CASE(gets_no_more_after_a_restart_that_only_broke_its_calls) {
  Configure({"warm", "late"});
  for (int round = 0; round < 60; ++round) {
    for (const auto& [entry, exchange] : Flood(2)) {
      (void)End(entry, exchange, false);
    }
  }
  auto broken = Flood(2);
  BOOST_TEST(broken.size() > 3U);
  std::size_t again = 0;
  for (const auto& [entry, exchange] : broken) {
    (void)this->Break(entry, exchange);
  }
  now += 10s;
  for (const auto& [entry, exchange] : Flood(2)) {
    const bool knows = std::any_of(
        broken.begin(), broken.end(),
        [sender = entry](const auto& one) { return one.first == sender; });
    again += knows ? 1 : 0;
  }
  BOOST_TEST(again <= 3U);
}

BOOST_AUTO_TEST_CASE(gets_more_with_every_few_good_answers) {
  Configure({"warm", "late"});
  auto late = Flood(1);
  std::size_t most = 0;
  for (int round = 0; round < 60; ++round) {
    for (const auto& [entry, exchange] : late) {
      (void)End(entry, exchange, false);
    }
    now += 10ms;
    late = Flood(2);
    most = std::max(most, late.size());
  }
  BOOST_TEST(most > 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(calls_that_are_late_while_a_target_is_cold,
                         FixtureWithHedges)

BOOST_AUTO_TEST_CASE(are_not_hedged_there) {
  std::size_t began_there = 0;
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    while (true) {
      const StartExchange exchange = Submit(entry).at(0);
      if (exchange.target.Text() == "warm") {
        break;
      }
      ++began_there;
      (void)End(entry, exchange, false);
    }
  }
  BOOST_TEST(began_there > 0U);
  for (const StartExchange& hedge : Hedge()) {
    BOOST_TEST(hedge.target.Text() != "late");
  }
}

BOOST_AUTO_TEST_CASE(are_not_hedged_elsewhere_since_the_target_may_work_on) {
  const auto late = Flood(8);
  BOOST_TEST(late.size() == 3U);
  const std::vector<StartExchange> hedges = Hedge();
  for (const auto& [entry, exchange] : late) {
    BOOST_TEST(std::none_of(hedges.begin(), hedges.end(),
                            [&, own = exchange](const StartExchange& hedge) {
                              return hedge.call == own.call;
                            }));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_target_that_stays_cold_for_long,
                         FixtureWithHealthChecks)

BOOST_AUTO_TEST_CASE(gets_no_more_than_it_bears_all_the_while) {
  auto late = Flood(2);
  for (int round = 0; round < 300; ++round) {
    BOOST_TEST(late.size() <= 3U);
    for (const auto& [entry, exchange] : late) {
      (void)End(entry, exchange, true);
    }
    now += 100ms;
    for (const auto& [entry, probe] : Tick()) {
      Answer(entry, probe, true);
    }
    late = Flood(1);
  }
}

BOOST_AUTO_TEST_CASE(is_checked_no_more_often_than_its_budget_allows) {
  std::vector<core::TimePoint> checks;
  for (int round = 0; round < 600; ++round) {
    now += 50ms;
    for (const auto& [entry, probe] : Tick()) {
      Answer(entry, probe, true);
      checks.push_back(now);
    }
  }
  BOOST_TEST(checks.size() > 60U);
  for (std::size_t index = kProbeBudget; index < checks.size(); ++index) {
    BOOST_TEST((checks[index] - checks[index - kProbeBudget] >= 1s));
  }
}

BOOST_AUTO_TEST_CASE(is_checked_once_by_an_entry_that_was_frozen_for_long) {
  now += 60s;
  std::map<std::size_t, int> checks;
  for (int round = 0; round < 20; ++round) {
    for (const auto& [entry, probe] : Tick()) {
      Answer(entry, probe, true);
      ++checks[entry];
    }
    now += 10ms;
  }
  for (const auto& [entry, count] : checks) {
    BOOST_TEST(count == 1);
  }
}

BOOST_AUTO_TEST_CASE(gets_calls_of_all_entries_once_it_says_that_it_is_warm) {
  std::map<std::size_t, int> calls;
  for (int round = 0; round < 200; ++round) {
    now += 100ms;
    for (const auto& [entry, probe] : Tick()) {
      Answer(entry, probe, false);
    }
    for (const auto& [entry, exchange] : Flood(2)) {
      ++calls[entry];
      (void)End(entry, exchange, false);
    }
  }
  BOOST_TEST(calls.size() == kEntries);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
