#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace trefoilbend::tests {

namespace {

using nlohmann::json;

/** Calls that a cold target can handle at a time. */
constexpr int kColdAllowance = 3;

struct Fixture {
  std::unique_ptr<Fleet> fleet =
      Fleet::Builder{}
          .WithEntries(4)
          .WithTargets(4, {"--service-us", "5000", "--cold-bears", "3"})
          .WithRules(
              "[service stock]\ncold-allowance = 3\nhealth-path = /load\n")
          .Build();

  [[nodiscard]] std::unique_ptr<Driver> Drive(
      const std::string& seconds) const {
    return this->fleet->Drive(
        {"--callers", "32", "--rate", "1200", "--seconds", seconds});
  }

  [[nodiscard]] int Count(const std::string& target,
                          const std::string& name) const {
    return this->fleet->Counts(target).at(name).get<int>();
  }

  /** Removes the target from the platform's list, waits until no entry sends
   * calls there any more, and restarts it cold. */
  void RestartCold(const std::string& target) const {
    this->fleet->List(target, "gone");
    const auto is_idle = [&] {
      const int before = this->Count(target, "handled");
      return !Fleet::Await(
          [&] { return this->Count(target, "handled") > before; },
          std::chrono::milliseconds{300});
    };
    BOOST_TEST(Fleet::Await(is_idle));
    this->fleet->Signal(target, SIGKILL);
    this->fleet->Start(target, {"--cold"});
  }

  [[nodiscard]] bool AwaitCount(const std::string& target,
                                const std::string& name,
                                const int min_count) const {
    return Fleet::Await([&] { return this->Count(target, name) >= min_count; });
  }

  /** Checks that a cold target gets calls within its allowance, then makes it
   * warm and checks that it gets more. */
  void CheckWarmUp(const std::string& target, const int calls) const {
    BOOST_TEST(AwaitCount(target, "cold_handled", calls));
    BOOST_TEST(Count(target, "most_in_flight_cold") <= kColdAllowance);
    this->fleet->Fault(target, "cold", 0);
    BOOST_TEST(AwaitCount(target, "most_running", kColdAllowance + 1));
  }

  static void CheckNothingLost(const json& report) {
    for (const char* outcome : {"not_run", "unknown", "broken", "wrong"}) {
      BOOST_TEST(report.at(outcome).get<int>() == 0, outcome);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_fleet_with_cold_targets, Fixture)

BOOST_AUTO_TEST_SUITE(when_a_cold_target_joins)

BOOST_AUTO_TEST_CASE(keeps_it_within_the_cold_allowance_until_it_is_warm) {
  const auto driver = Drive("12");
  std::ofstream{fleet->Folder() + "/inventory.ini", std::ios::app}
      << "[instance stock-5]\ndata-centre = xela-1\nservice = stock\naddress = "
      << ToString(fleet->AddressOf("stock-5"))
      << "\nslots = 6\nconnections = 200\nversion = 1\n";
  fleet->Start("stock-5", {"--cold"});
  const CommandResult applied = Fleet::Control(
      {"apply", "--entry", ToString(fleet->OperationsOf("entry-2")),
       "--inventory", fleet->Folder() + "/inventory.ini", "--rules",
       fleet->Folder() + "/rules.ini", "--why", "more room"});
  BOOST_TEST(applied.exit_code == 0, applied.output);
  CheckWarmUp("stock-5", 100);
  CheckNothingLost(driver->Report());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_target_returns_cold)

BOOST_AUTO_TEST_CASE(keeps_it_within_the_cold_allowance_until_it_is_warm) {
  const auto driver = Drive("14");
  BOOST_TEST(AwaitCount("stock-2", "handled", 50));
  RestartCold("stock-2");
  CheckWarmUp("stock-2", 100);
  CheckNothingLost(driver->Report());
}

BOOST_AUTO_TEST_CASE(
    keeps_it_within_the_cold_allowance_as_long_as_it_stays_cold) {
  const auto driver = Drive("14");
  BOOST_TEST(AwaitCount("stock-2", "handled", 50));
  RestartCold("stock-2");
  CheckNothingLost(driver->Report());
  BOOST_TEST(Count("stock-2", "cold_handled") > 100);
  BOOST_TEST(Count("stock-2", "most_in_flight_cold") <= kColdAllowance);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_target_restarts_before_entries_read_the_list)

BOOST_AUTO_TEST_CASE(reduces_its_calls_to_the_cold_allowance) {
  const auto driver = Drive("14");
  BOOST_TEST(AwaitCount("stock-2", "handled", 50));
  fleet->List("stock-2", "gone");
  fleet->Signal("stock-2", SIGKILL);
  fleet->Start("stock-2", {"--cold"});
  BOOST_TEST(AwaitCount("stock-2", "cold_handled", 50));
  const int overruns = Count("stock-2", "cold_overruns");
  CheckNothingLost(driver->Report());
  BOOST_TEST(Count("stock-2", "cold_handled") > 100);
  BOOST_TEST(Count("stock-2", "cold_overruns") == overruns);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_target_turns_cold_without_notice)

BOOST_AUTO_TEST_CASE(reduces_its_calls_to_the_cold_allowance) {
  const auto driver = Drive("12");
  BOOST_TEST(AwaitCount("stock-3", "most_running", kColdAllowance + 1));
  fleet->Fault("stock-3", "cold", 1);
  BOOST_TEST(AwaitCount("stock-3", "cold_handled", 50));
  const int overruns = Count("stock-3", "cold_overruns");
  BOOST_TEST(AwaitCount("stock-3", "cold_handled", 150));
  BOOST_TEST(Count("stock-3", "cold_overruns") == overruns);
  CheckNothingLost(driver->Report());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_data_centre_returns_with_cold_targets)

BOOST_AUTO_TEST_CASE(
    keeps_each_of_them_within_the_cold_allowance_until_it_is_warm) {
  const auto driver = Drive("14");
  const auto change = [&](std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "data-centre");
    arguments.insert(
        arguments.end(),
        {"xela-2", "--entry", ToString(fleet->OperationsOf("entry-1"))});
    const CommandResult result = Fleet::Control(arguments);
    BOOST_TEST(result.exit_code == 0, result.output);
  };
  change({"out", "--force"});
  for (const char* target : {"stock-1", "stock-3"}) {
    fleet->Fault(target, "cold", 1);
  }
  change({"in"});
  for (const char* target : {"stock-1", "stock-3"}) {
    BOOST_TEST(AwaitCount(target, "cold_handled", 50));
  }
  for (const char* target : {"stock-1", "stock-3"}) {
    CheckWarmUp(target, 100);
  }
  CheckNothingLost(driver->Report());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
