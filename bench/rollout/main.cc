#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <future>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/trial.h"

namespace {

namespace bench = trefoilbend::bench;

struct FaultName {
  bench::Fault fault;
  const char* name;
};

constexpr FaultName kFaults[] = {{bench::Fault::kNone, "good"},
                                 {bench::Fault::kAtOnce, "at_once"},
                                 {bench::Fault::kLate, "late"},
                                 {bench::Fault::kUnderLoad, "under_load"},
                                 {bench::Fault::kOneRoute, "one_route"},
                                 {bench::Fault::kSlow, "slow"}};

const std::vector<bench::Deployment>& Deployments() {
  static const std::vector<bench::Deployment> kDeployments{
      {"guatemala_stock", 3, 25, 60},
      {"guatemala_catalogue", 3, 5, 4},
      {"georgia_dispatch", 4, 30, 40},
      {"georgia_library", 4, 10, 4}};
  return kDeployments;
}

void Print(const std::string& name, const double value, const char* unit) {
  std::printf("figure %s %.2f %s\n", name.c_str(), value, unit);
}

double Percent(const std::vector<bench::TrialResult>& results,
               bool bench::TrialResult::*member) {
  const auto hits = std::count_if(results.begin(), results.end(),
                                  [&](const auto& one) { return one.*member; });
  return 100.0 * static_cast<double>(hits) /
         static_cast<double>(results.size());
}

void Report(const std::string& prefix, const bench::Fault fault,
            const std::vector<bench::TrialResult>& results) {
  if (fault == bench::Fault::kNone) {
    Print(prefix + "_on_time", Percent(results, &bench::TrialResult::on_time),
          "%");
    Print(prefix + "_braked", Percent(results, &bench::TrialResult::taken_back),
          "%");
    return;
  }
  Print(prefix + "_taken_back",
        Percent(results, &bench::TrialResult::taken_back), "%");
  const auto late =
      std::count_if(results.begin(), results.end(),
                    [](const auto& one) { return one.late_calls > 0; });
  Print(prefix + "_with_calls_3s_after_showing",
        100.0 * static_cast<double>(late) / static_cast<double>(results.size()),
        "%");
  const auto print_quantiles = [&](const char* name, const char* unit,
                                   auto value_of) {
    std::vector<double> values;
    values.reserve(results.size());
    for (const bench::TrialResult& one : results) {
      values.push_back(value_of(one));
    }
    std::sort(values.begin(), values.end());
    Print(prefix + name + "_p50", values[values.size() / 2], unit);
    Print(prefix + name + "_p99", values[values.size() * 99 / 100], unit);
  };
  print_quantiles("_calls_after_first", "calls", [](const auto& one) {
    return static_cast<double>(one.calls_after);
  });
  print_quantiles("_showing_to_last_call", "s", [](const auto& one) {
    return std::chrono::duration<double>(one.showed_for).count();
  });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Good and bad releases on the rollout's decision objects, against fixed "
      "steps and an error threshold."};
  std::uint64_t seed = 1;
  std::uint64_t releases = 25;
  std::string only;
  app.add_option("--seed", seed, "Seed of the first release");
  app.add_option("--releases", releases,
                 "Releases of each fault in each deployment");
  app.add_option("--policy", only, "One policy alone");
  CLI11_PARSE(app, argc, argv);
  std::printf("seed %llu, %llu releases of each fault in each deployment\n",
              static_cast<unsigned long long>(seed),
              static_cast<unsigned long long>(releases));
  for (const bench::PolicyKind& policy : bench::Policies()) {
    if (!only.empty() && only != policy.name) {
      continue;
    }
    for (const FaultName& fault : kFaults) {
      std::vector<std::future<std::vector<bench::TrialResult>>> parts;
      for (const bench::Deployment& deployment : Deployments()) {
        parts.push_back(std::async(std::launch::async, [&, seed, releases] {
          std::vector<bench::TrialResult> results;
          for (std::uint64_t one = 0; one < releases; ++one) {
            results.push_back(
                bench::RunTrial(deployment, fault.fault, policy,
                                (seed + one) * 7'919 +
                                    static_cast<std::uint64_t>(fault.fault)));
          }
          return results;
        }));
      }
      std::vector<bench::TrialResult> all;
      for (std::size_t at = 0; at < parts.size(); ++at) {
        const auto part = parts[at].get();
        Report(std::string{policy.name} + "_" + Deployments()[at].name + "_" +
                   fault.name,
               fault.fault, part);
        all.insert(all.end(), part.begin(), part.end());
      }
      Report(std::string{policy.name} + "_all_" + fault.name, fault.fault, all);
    }
  }
  return 0;
}
