#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "simulation.h"
#include "trefoilbend/balancing/strategy.h"

namespace {

using std::chrono::microseconds;
using trefoilbend::bench::Result;
using trefoilbend::bench::Scenario;

/** @return The named cases, each one change from the first. */
std::vector<Scenario> Cases() {
  using namespace std::chrono_literals;
  Scenario noisy;
  Scenario calm{.name = "calm", .slow_for = 0ms};
  Scenario stale{.name = "stale", .report_lag = 200ms};
  Scenario lying{.name = "lying", .liars = 5};
  Scenario unequal{.name = "unequal", .unequal = true};
  Scenario failing{.name = "fast-failing", .fast_failing = 1};
  Scenario frozen{.name = "frozen", .frozen = 1};
  Scenario georgia{.name = "georgia",
                   .entries = 14,
                   .targets = 30,
                   .slots = 4,
                   .connections = 250,
                   .network = 250us};
  return {noisy, calm, stale, lying, unequal, failing, frozen, georgia};
}

double Milliseconds(std::vector<microseconds>& times, const double part) {
  if (times.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(times.size() - 1);
  const auto at = times.begin() + static_cast<std::ptrdiff_t>(part * last);
  std::nth_element(times.begin(), at, times.end());
  return std::chrono::duration<double, std::milli>(*at).count();
}

double PerCall(const std::uint64_t count, const Result& result) {
  const std::uint64_t calls = std::max<std::uint64_t>(1, result.arrived);
  return static_cast<double>(count) / static_cast<double>(calls);
}

void Print(const std::string& name, const double value, const char* unit) {
  std::printf("figure %s %.2f %s\n", name.c_str(), value, unit);
}

double Report(const Scenario& scenario, const std::string& strategy,
              Result& result, const double oracle) {
  char prefix[128];
  std::snprintf(prefix, sizeof prefix, "%s_%.0f_%s_seed%llu_",
                scenario.name.c_str(), scenario.load * 100, strategy.c_str(),
                static_cast<unsigned long long>(scenario.seed));
  const std::string name = prefix;
  const double p99 = Milliseconds(result.times, 0.99);
  Print(name + "p50", Milliseconds(result.times, 0.5), "ms");
  Print(name + "p99", p99, "ms");
  Print(name + "p999", Milliseconds(result.times, 0.999), "ms");
  Print(name + "idempotent_p99", Milliseconds(result.idempotent_times, 0.99),
        "ms");
  Print(name + "urgent_p99", Milliseconds(result.urgent_times, 0.99), "ms");
  Print(name + "answered", 100 * PerCall(result.times.size(), result), "%");
  Print(name + "failed", 100 * PerCall(result.failed, result), "%");
  Print(name + "urgent_refused", static_cast<double>(result.urgent_refused),
        "calls");
  Print(name + "exchanges_per_call", PerCall(result.exchanges, result), "");
  if (oracle > 0) {
    Print(name + "p99_to_oracle", p99 / oracle, "");
  }
  return p99;
}

}  // namespace

int main(int argc, char** argv) {
  namespace bench = trefoilbend::bench;
  CLI::App app{
      "Measures the choice of targets with real dispatchers and fake targets "
      "under a manual clock."};
  std::vector<std::string> names{"noisy"};
  std::vector<std::string> strategies = trefoilbend::balancing::StrategyNames();
  std::vector<double> loads{50, 70, 85, 95};
  std::vector<std::uint64_t> seeds{1};
  double seconds = 10;
  std::uint32_t hedge_percent = Scenario{}.hedge_percent;
  app.add_option("--case", names, "Cases to run, or all");
  app.add_option("--strategy", strategies, "Strategies to run");
  app.add_option("--load", loads, "Loads in percent of what targets can do");
  app.add_option("--seed", seeds, "Seeds of the random numbers");
  app.add_option("--seconds", seconds, "Length of each run");
  app.add_option("--hedge-percent", hedge_percent,
                 "Part of the idempotent calls that are hedged");
  CLI11_PARSE(app, argc, argv);
  strategies.insert(strategies.begin(), bench::kOracle);
  for (Scenario scenario : Cases()) {
    if (names.front() != "all" &&
        std::find(names.begin(), names.end(), scenario.name) == names.end()) {
      continue;
    }
    for (const double load : loads) {
      for (const std::uint64_t seed : seeds) {
        scenario.load = load / 100;
        scenario.hedge_percent = hedge_percent;
        scenario.seed = seed;
        scenario.length = std::chrono::milliseconds{
            static_cast<std::int64_t>(seconds * 1'000)};
        double oracle = 0;
        for (const std::string& strategy : strategies) {
          Result result = bench::Simulation{scenario, strategy}.Run();
          const double p99 = Report(scenario, strategy, result, oracle);
          oracle = strategy == bench::kOracle ? p99 : oracle;
        }
      }
    }
  }
  return 0;
}
