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

/** One entry that probes, and targets with neighbours that disturb them. */
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

  /** Answers probes until the call is sent; returns where to. */
  [[nodiscard]] core::InstanceName Send() {
    Decisions decisions = this->Submit();
    for (std::size_t index = 0; index < decisions.size(); ++index) {
      if (const auto* probe = std::get_if<StartProbe>(&decisions[index])) {
        ++this->probes;
        const Decisions more = this->Answer(*probe);
        decisions.insert(decisions.end(), more.begin(), more.end());
      }
    }
    const auto* started = std::get_if<StartExchange>(&decisions.back());
    BOOST_REQUIRE(started != nullptr);
    this->End(*started);
    return started->target;
  }

  [[nodiscard]] Decisions Answer(const StartProbe& probe) {
    forwarding::HealthReport report{.healthy = true, .name = probe.target};
    report.load =
        forwarding::LoadReport{.slowdown = this->slowdowns.at(probe.target)};
    return this->dispatcher.OnProbeEnded(
        {.probe = probe.probe, .target = probe.target, .report = report},
        this->now);
  }

  void End(const StartExchange& started) {
    (void)this->dispatcher.OnExchangeEnded({.call = started.call,
                                            .exchange = started.exchange,
                                            .target = started.target,
                                            .result = ExchangeResult::kAnswered,
                                            .status = 200,
                                            .latency = 75ms},
                                           this->now);
  }

  /** Disturbs a part of the targets anew, as their neighbours do. */
  void SlowTargetsDown(const double share) {
    std::bernoulli_distribution slowed_down{share};
    for (auto& [target, slow] : this->slowdowns) {
      slow = slowed_down(this->random) ? kNeighbourSlowdown : 1;
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

BOOST_FIXTURE_TEST_SUITE(noisy_neighbours, Fixture)

BOOST_AUTO_TEST_SUITE(that_disturb_a_quarter_of_the_targets)

BOOST_AUTO_TEST_CASE(slow_down_few_calls_since_targets_are_asked_first) {
  constexpr int kCalls = 1'000;
  constexpr int kMaxSlowedDown = kCalls / 100;
  int slowed_down = 0;
  for (int call = 0; call < kCalls; ++call) {
    if (call % 20 == 0) {
      SlowTargetsDown(0.25);
    }
    now += 50ms;
    slowed_down += slowdowns.at(Send()) > 1 ? 1 : 0;
  }
  BOOST_TEST(slowed_down <= kMaxSlowedDown);
  BOOST_TEST(probes <= 3 * kCalls);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_are_known_to_be_quiet)

BOOST_AUTO_TEST_CASE(are_not_asked_again_at_once) {
  (void)Send();
  const int before = probes;
  (void)Send();
  BOOST_TEST(probes == before);
}

BOOST_AUTO_TEST_CASE(are_asked_again_when_the_report_is_old) {
  (void)Send();
  const int before = probes;
  now += 100ms;
  (void)Send();
  BOOST_TEST(probes > before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_targets_do_not_answer)

BOOST_AUTO_TEST_CASE(hold_a_call_up_for_a_moment_only) {
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

BOOST_AUTO_TEST_CASE(hold_it_up_for_a_tenth_of_its_target_latency) {
  const std::map<std::chrono::milliseconds, std::chrono::milliseconds> waits{
      {0ms, 12ms}, {120ms, 12ms}, {250ms, 25ms}, {800ms, 40ms}};
  for (const auto& [objective, wait] : waits) {
    (void)Submit(objective);
    BOOST_TEST((dispatcher.NextTick(now, now + 1s) == now + wait));
    (void)dispatcher.Cancel({last_call}, now);
  }
}

BOOST_AUTO_TEST_CASE(are_not_asked_again_while_they_owe_an_answer) {
  std::map<core::InstanceName, int> probed;
  for (int call = 0; call < 6; ++call) {
    for (const Decision& decision : Submit()) {
      ++probed[std::get<StartProbe>(decision).target];
    }
  }
  BOOST_TEST(probed.size() == 12);
}

BOOST_AUTO_TEST_CASE(get_no_call_while_others_answer_though_disturbed) {
  constexpr double kLowerSlowdown = 3;
  for (auto& [target, slow] : slowdowns) {
    slow = kLowerSlowdown;
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
    BOOST_TEST(!unanswered.contains(Send()));
    now += 1ms;
  }
}

BOOST_AUTO_TEST_CASE(forget_a_call_that_its_caller_has_left) {
  const Decisions decisions = Submit();
  BOOST_TEST(dispatcher.Cancel({last_call}, now).empty());
  BOOST_TEST(dispatcher.CallCount() == 0U);
  for (const Decision& decision : decisions) {
    BOOST_TEST(Answer(std::get<StartProbe>(decision)).empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
