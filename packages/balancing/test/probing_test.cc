#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::balancing {

using namespace std::chrono_literals;
using forwarding::ExchangeResult;
using forwarding::StartExchange;
using forwarding::StartProbe;

namespace {

/** Dispatcher that probes targets, some of which neighbours slow down. */
class Fixture {
 public:
  explicit Fixture(const int targets = 12) {
    inventory::Configuration::Builder builder;
    inventory::Service service{.name = core::ServiceName{"stock"},
                               .trusts_refusals = true};
    service.health_path = "/health";
    builder.Put(service);
    auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
    for (int number = 0; number < targets; ++number) {
      inventory::Instance target;
      target.name = core::InstanceName{"t" + std::to_string(number)};
      target.service = core::ServiceName{"stock"};
      target.slots = 6;
      target.connections = 100;
      builder.Put(target);
      listed->push_back({.name = target.name});
      this->slowdowns[target.name] = 1;
    }
    (void)this->dispatcher.Configure({builder.Build(), listed}, this->now);
  }

  [[nodiscard]] Decisions Submit(
      const std::chrono::milliseconds objective = 0ms) {
    auto request = std::make_shared<core::CallRequest>();
    request->service = core::ServiceName{"stock"};
    request->idempotent = true;
    request->deadline = this->now + 1s;
    request->objective = objective;
    this->last_call = this->last_call.Next();
    return this->dispatcher.Submit({this->last_call, request}, this->now);
  }

  /** Submits a call, answers its probes until it is dispatched and ends its
   * exchange; returns the target. */
  [[nodiscard]] core::InstanceName SendCall() {
    Decisions decisions = this->Submit();
    for (std::size_t index = 0; index < decisions.size(); ++index) {
      if (const auto* probe = std::get_if<StartProbe>(&decisions[index])) {
        ++this->probes;
        const Decisions more = this->AnswerProbe(*probe);
        decisions.insert(decisions.end(), more.begin(), more.end());
      }
    }
    const auto* started = std::get_if<StartExchange>(&decisions.back());
    BOOST_REQUIRE(started != nullptr);
    this->EndExchange(*started);
    return started->target;
  }

  [[nodiscard]] Decisions AnswerProbe(const StartProbe& probe) {
    forwarding::HealthReport report{.healthy = true, .name = probe.target};
    report.load =
        forwarding::LoadReport{.slowdown = this->slowdowns.at(probe.target)};
    return this->dispatcher.OnProbeEnded(
        {.probe = probe.probe, .target = probe.target, .report = report},
        this->now);
  }

  void EndExchange(const StartExchange& started) {
    (void)this->dispatcher.OnExchangeEnded({.call = started.call,
                                            .exchange = started.exchange,
                                            .target = started.target,
                                            .result = ExchangeResult::kAnswered,
                                            .status = 200,
                                            .latency = 75ms},
                                           this->now);
  }

  /** Slows down a random share of the targets and restores the others, as
   * changing neighbours do. */
  void SlowTargetsDown(const double share) {
    std::bernoulli_distribution slowed_down{share};
    for (auto& [target, factor] : this->slowdowns) {
      factor = slowed_down(this->random) ? kNeighbourSlowdown : 1;
    }
  }

  static constexpr double kNeighbourSlowdown = 7;

  Dispatcher dispatcher{DispatcherOptions{.strategy = "quiet", .probes = 2}};
  std::map<core::InstanceName, double> slowdowns;
  std::mt19937_64 random{1};
  core::CallId last_call;
  int probes = 0;
  core::TimePoint now{10s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(probes_of_targets, Fixture)

BOOST_AUTO_TEST_SUITE(a_quarter_of_which_are_slowed_down)

BOOST_AUTO_TEST_CASE(keep_nearly_all_calls_off_the_slow_targets) {
  constexpr int kCalls = 1'000;
  constexpr int kMaxSlowCalls = kCalls / 100;
  int slow_calls = 0;
  for (int call = 0; call < kCalls; ++call) {
    if (call % 20 == 0) {
      SlowTargetsDown(0.25);
    }
    now += 50ms;
    slow_calls += slowdowns.at(SendCall()) > 1 ? 1 : 0;
  }
  BOOST_TEST(slow_calls <= kMaxSlowCalls);
  BOOST_TEST(probes <= 3 * kCalls);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_are_not_slowed_down)

BOOST_AUTO_TEST_CASE(are_not_repeated_while_the_report_is_fresh) {
  (void)SendCall();
  const int probes_before = probes;
  (void)SendCall();
  BOOST_TEST(probes == probes_before);
}

BOOST_AUTO_TEST_CASE(are_repeated_once_the_report_is_old) {
  (void)SendCall();
  const int probes_before = probes;
  now += 100ms;
  (void)SendCall();
  BOOST_TEST(probes > probes_before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_are_not_answered)

BOOST_AUTO_TEST_CASE(delay_a_call_only_briefly) {
  Decisions decisions = Submit();
  BOOST_REQUIRE(std::holds_alternative<StartProbe>(decisions.front()));
  BOOST_TEST(dispatcher.Tick(now).empty());
  now = dispatcher.NextTick(now, now + 1s);
  BOOST_TEST((now <= core::TimePoint{10s} + 20ms));
  decisions = dispatcher.Tick(now);
  now += 20ms;
  for (int tick = 0; tick < 2 && !decisions.empty() &&
                     std::holds_alternative<StartProbe>(decisions.back());
       ++tick) {
    decisions = dispatcher.Tick(now);
    now += 20ms;
  }
  BOOST_REQUIRE(!decisions.empty());
  BOOST_TEST(std::holds_alternative<StartExchange>(decisions.back()));
}

BOOST_AUTO_TEST_CASE(
    delay_a_call_by_a_tenth_of_its_target_latency_within_bounds) {
  const std::map<std::chrono::milliseconds, std::chrono::milliseconds> waits{
      {0ms, 12ms}, {120ms, 12ms}, {250ms, 25ms}, {800ms, 40ms}};
  for (const auto& [objective, wait] : waits) {
    (void)Submit(objective);
    BOOST_TEST((dispatcher.NextTick(now, now + 1s) == now + wait));
    (void)dispatcher.Cancel({last_call}, now);
  }
}

BOOST_AUTO_TEST_CASE(are_not_repeated_while_one_is_pending) {
  std::map<core::InstanceName, int> probe_counts;
  for (int call = 0; call < 6; ++call) {
    for (const Decision& decision : Submit()) {
      ++probe_counts[std::get<StartProbe>(decision).target];
    }
  }
  BOOST_TEST(probe_counts.size() == 12);
}

BOOST_AUTO_TEST_CASE(keep_calls_off_their_targets_while_slow_targets_answer) {
  constexpr double kLowerSlowdown = 3;
  for (auto& [target, factor] : slowdowns) {
    factor = kLowerSlowdown;
  }
  std::map<core::InstanceName, StartProbe> unanswered;
  for (int call = 0; call < 4; ++call) {
    for (const Decision& decision : Submit()) {
      const auto& probe = std::get<StartProbe>(decision);
      unanswered.emplace(probe.target, probe);
    }
  }
  now += 30ms;
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(!unanswered.contains(SendCall()));
    now += 1ms;
  }
}

BOOST_AUTO_TEST_CASE(do_not_send_a_call_that_its_caller_has_cancelled) {
  const Decisions decisions = Submit();
  BOOST_TEST(dispatcher.Cancel({last_call}, now).empty());
  BOOST_TEST(dispatcher.CallCount() == 0U);
  for (const Decision& decision : decisions) {
    BOOST_TEST(AnswerProbe(std::get<StartProbe>(decision)).empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
