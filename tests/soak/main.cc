#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/filesystem.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "soak/runner.h"

namespace {

namespace soak = trefoilbend::soak;
using trefoilbend::tests::Fleet;

struct Options {
  soak::PlanOptions plan;
  std::string trace = "soak-trace";
  bool only_plan = false;
};

void PrintPlan(const std::vector<soak::Disturbance>& plan) {
  for (const soak::Disturbance& one : plan) {
    std::printf("  %s\n", soak::Describe(one).c_str());
  }
}

void PrintReport(const soak::Runner& runner) {
  const auto& callers = runner.Callers();
  const auto count = [&](const char* name) {
    return callers.is_object() ? callers.value(name, 0) : 0;
  };
  std::printf(
      "Callers: %d answered, %d refused as not run, %d unknown, %d broken, "
      "%d failed by a target, %d wrong.\n",
      count("answered"), count("not_run"), count("unknown"), count("broken"),
      count("failed"), count("wrong"));
  std::printf("Targets ran %zu keys; operators' changes accepted: %zu.\n",
              runner.Result().Keys(), runner.Result().Accepted());
}

void KeepTrace(const std::string& from, const Options& options,
               const soak::Runner& runner) {
  boost::filesystem::create_directories(options.trace);
  for (const auto& file : boost::filesystem::directory_iterator(from)) {
    boost::filesystem::copy_file(
        file.path(), options.trace / file.path().filename(),
        boost::filesystem::copy_option::overwrite_if_exists);
  }
  std::ofstream out{options.trace + "/run.txt"};
  out << "seed " << options.plan.seed << '\n';
  for (const soak::Disturbance& one : runner.Plan()) {
    out << soak::Describe(one) << '\n';
  }
  for (const std::string& violation : runner.Result().Violations()) {
    out << "violation: " << violation << '\n';
  }
  out << "callers: " << runner.Callers().dump() << '\n';
  std::printf("The trace is in %s.\n", options.trace.c_str());
}

int Run(const Options& options) {
  const auto fleet =
      Fleet::Builder{}
          .WithEntries(options.plan.entries)
          .WithTargets(options.plan.targets, {"--service-us", "2000"})
          .Build();
  soak::Runner runner{*fleet, options.plan};
  std::printf(
      "Seed %llu, %lld ms, %zu entries, %zu targets, %zu "
      "disturbances:\n",
      static_cast<unsigned long long>(options.plan.seed),
      static_cast<long long>(options.plan.duration.count()),
      options.plan.entries, options.plan.targets, runner.Plan().size());
  PrintPlan(runner.Plan());
  std::fflush(stdout);
  runner.Run();
  PrintReport(runner);
  const auto violations = runner.Result().Violations();
  for (const std::string& violation : violations) {
    std::printf("VIOLATION: %s\n", violation.c_str());
  }
  if (violations.empty()) {
    std::printf("All that must hold has held.\n");
    return 0;
  }
  KeepTrace(fleet->Folder(), options, runner);
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Disturbs a fleet of real processes at random under load and judges what "
      "targets and callers counted."};
  Options options;
  std::int64_t seconds = 10;
  app.add_option("--seed", options.plan.seed, "Seed of all disturbances");
  app.add_option("--seconds", seconds, "Time under disturbances")
      ->check(CLI::Range(5, 86'400));
  app.add_option("--entries", options.plan.entries, "Number of entries")
      ->check(CLI::Range(2, 19));
  app.add_option("--targets", options.plan.targets, "Number of targets")
      ->check(CLI::Range(2, 30));
  app.add_option("--trace", options.trace,
                 "Folder for the trace of a failed run");
  app.add_flag("--plan", options.only_plan, "Prints the plan and ends");
  CLI11_PARSE(app, argc, argv);
  options.plan.duration = std::chrono::seconds{seconds};
  if (options.only_plan) {
    PrintPlan(soak::DrawPlan(options.plan));
    return 0;
  }
  try {
    return Run(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "soak: %s\n", error.what());
    return 2;
  }
}
