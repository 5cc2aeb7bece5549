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
/** Health checks per second that all entries together may send to a target. */
constexpr std::uint32_t kProbeBudget = 4;

std::vector<core::InstanceName> EntryNames() {
  std::vector<core::InstanceName> names;
  for (std::size_t number = 0; number < kEntries; ++number) {
    names.emplace_back("entry-" + std::to_string(number));
  }
  return names;
}

/** Entries that exchange no messages, a warm target and a target that joins
 * later. */
class Fixture {
 public:
  Fixture() {
    for (const core::InstanceName& name : EntryNames()) {
      this->entries.push_back(
          std::make_unique<Dispatcher>(DispatcherOptions{.self = name}));
    }
    this->Configure({"warm"});
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      this->AnswerExchange(entry, this->Submit(entry).at(0), false);
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

  std::vector<StartExchange> AnswerExchange(const std::size_t entry,
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

  Decisions BreakExchange(const std::size_t entry,
                          const StartExchange& exchange) {
    return this->entries[entry]->OnExchangeEnded(
        {.call = exchange.call,
         .exchange = exchange.exchange,
         .target = exchange.target,
         .result = ExchangeResult::kBrokenBeforeAnswer,
         .status = 0,
         .latency = 1ms},
        this->now);
  }

  /** Submits the given number of calls to each entry; returns the exchanges
   * started at the late target, each with its entry. */
  std::vector<std::pair<std::size_t, StartExchange>> SubmitToAll(
      const int calls) {
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

  /** Runs the timers of all entries; returns the health checks started at the
   * late target, each with its entry. */
  std::vector<std::pair<std::size_t, StartProbe>> TickAll() {
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

  void AnswerProbe(const std::size_t entry, const StartProbe& probe,
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

/** The same fleet with idempotent calls, which may be hedged. */
class FixtureWithHedges : public Fixture {
 public:
  FixtureWithHedges() {
    this->idempotent = true;
    this->Configure({"warm", "late"});
  }

  /** Advances the time past the hedge delay; returns the hedges started. */
  std::vector<StartExchange> TriggerHedges() {
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

/** The same fleet with targets that have a health path. */
class FixtureWithHealthChecks : public Fixture {
 public:
  FixtureWithHealthChecks() {
    this->health_path = "/health";
    this->Configure({"warm", "late"});
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(shares_of_a_cold_targets_allowance)

BOOST_AUTO_TEST_CASE(add_up_to_the_allowance) {
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

BOOST_AUTO_TEST_CASE(stay_the_same_when_an_entry_without_a_share_leaves) {
  std::vector<core::InstanceName> remaining = EntryNames();
  const core::InstanceName target{"late"};
  std::erase_if(remaining, [&](const core::InstanceName& entry) {
    return ComputeColdShare(target, entry, EntryNames(), 3).rank == 16;
  });
  for (const core::InstanceName& self : remaining) {
    BOOST_TEST((ComputeColdShare(target, self, remaining, 3) ==
                ComputeColdShare(target, self, EntryNames(), 3)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_target_that_joins_a_running_fleet, Fixture)

BOOST_AUTO_TEST_CASE(
    counts_as_warm_for_an_entry_that_starts_before_its_list_arrives) {
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

BOOST_AUTO_TEST_CASE(
    gets_no_more_calls_than_its_allowance_from_all_entries_together) {
  Configure({"warm", "late"});
  BOOST_TEST(SubmitToAll(20).size() == 3U);
}

BOOST_AUTO_TEST_CASE(
    gets_no_more_calls_than_its_allowance_while_it_reports_cold) {
  Configure({"warm", "late"});
  auto late = SubmitToAll(5);
  for (int round = 0; round < 50; ++round) {
    for (const auto& [entry, exchange] : late) {
      (void)AnswerExchange(entry, exchange, true);
    }
    now += 10ms;
    late = SubmitToAll(1);
    BOOST_TEST(late.size() <= 3U);
  }
}

BOOST_AUTO_TEST_CASE(
    is_cold_again_after_a_restart_that_shows_only_as_broken_calls) {
  Configure({"warm", "late"});
  for (int round = 0; round < 60; ++round) {
    for (const auto& [entry, exchange] : SubmitToAll(2)) {
      (void)AnswerExchange(entry, exchange, false);
    }
  }
  auto broken = SubmitToAll(2);
  BOOST_TEST(broken.size() > 3U);
  std::size_t calls_after_break = 0;
  for (const auto& [entry, exchange] : broken) {
    (void)this->BreakExchange(entry, exchange);
  }
  now += 10s;
  for (const auto& [entry, exchange] : SubmitToAll(2)) {
    const bool had_broken_call =
        std::any_of(broken.begin(), broken.end(),
                    [sender = entry](const auto& broken_call) {
                      return broken_call.first == sender;
                    });
    calls_after_break += had_broken_call ? 1 : 0;
  }
  BOOST_TEST(calls_after_break <= 3U);
}

BOOST_AUTO_TEST_CASE(gets_more_calls_after_successful_answers) {
  Configure({"warm", "late"});
  auto late = SubmitToAll(1);
  std::size_t max_in_flight = 0;
  for (int round = 0; round < 60; ++round) {
    for (const auto& [entry, exchange] : late) {
      (void)AnswerExchange(entry, exchange, false);
    }
    now += 10ms;
    late = SubmitToAll(2);
    max_in_flight = std::max(max_in_flight, late.size());
  }
  BOOST_TEST(max_in_flight > 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(calls_that_are_late_while_a_target_is_cold,
                         FixtureWithHedges)

BOOST_AUTO_TEST_CASE(are_not_hedged_at_the_cold_target) {
  std::size_t started_at_cold_target = 0;
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    while (true) {
      const StartExchange exchange = Submit(entry).at(0);
      if (exchange.target.Text() == "warm") {
        break;
      }
      ++started_at_cold_target;
      (void)AnswerExchange(entry, exchange, false);
    }
  }
  BOOST_TEST(started_at_cold_target > 0U);
  for (const StartExchange& hedge : TriggerHedges()) {
    BOOST_TEST(hedge.target.Text() != "late");
  }
}

BOOST_AUTO_TEST_CASE(
    are_not_hedged_elsewhere_if_the_cold_target_may_still_run_them) {
  const auto late = SubmitToAll(8);
  BOOST_TEST(late.size() == 3U);
  const std::vector<StartExchange> hedges = TriggerHedges();
  for (const auto& [entry, exchange] : late) {
    BOOST_TEST(
        std::none_of(hedges.begin(), hedges.end(),
                     [&, original = exchange](const StartExchange& hedge) {
                       return hedge.call == original.call;
                     }));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_target_that_stays_cold_for_long,
                         FixtureWithHealthChecks)

BOOST_AUTO_TEST_CASE(never_gets_more_calls_than_its_allowance) {
  auto late = SubmitToAll(2);
  for (int round = 0; round < 300; ++round) {
    BOOST_TEST(late.size() <= 3U);
    for (const auto& [entry, exchange] : late) {
      (void)AnswerExchange(entry, exchange, true);
    }
    now += 100ms;
    for (const auto& [entry, probe] : TickAll()) {
      AnswerProbe(entry, probe, true);
    }
    late = SubmitToAll(1);
  }
}

BOOST_AUTO_TEST_CASE(is_checked_no_more_often_than_its_budget_allows) {
  std::vector<core::TimePoint> checks;
  for (int round = 0; round < 600; ++round) {
    now += 50ms;
    for (const auto& [entry, probe] : TickAll()) {
      AnswerProbe(entry, probe, true);
      checks.push_back(now);
    }
  }
  BOOST_TEST(checks.size() > 60U);
  for (std::size_t index = kProbeBudget; index < checks.size(); ++index) {
    BOOST_TEST((checks[index] - checks[index - kProbeBudget] >= 1s));
  }
}

BOOST_AUTO_TEST_CASE(
    is_checked_once_by_an_entry_that_was_suspended_for_a_minute) {
  now += 60s;
  std::map<std::size_t, int> checks;
  for (int round = 0; round < 20; ++round) {
    for (const auto& [entry, probe] : TickAll()) {
      AnswerProbe(entry, probe, true);
      ++checks[entry];
    }
    now += 10ms;
  }
  for (const auto& [entry, count] : checks) {
    BOOST_TEST(count == 1);
  }
}

BOOST_AUTO_TEST_CASE(
    gets_calls_from_all_entries_once_it_reports_that_it_is_warm) {
  std::map<std::size_t, int> calls;
  for (int round = 0; round < 200; ++round) {
    now += 100ms;
    for (const auto& [entry, probe] : TickAll()) {
      AnswerProbe(entry, probe, false);
    }
    for (const auto& [entry, exchange] : SubmitToAll(2)) {
      ++calls[entry];
      (void)AnswerExchange(entry, exchange, false);
    }
  }
  BOOST_TEST(calls.size() == kEntries);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
