#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <memory>
#include <string>
#include <thread>

#include "fleet/fleet.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;

struct Fixture {
  std::unique_ptr<Fleet> fleet = Fleet::Builder{}
                                     .WithEntries(3)
                                     .WithTargets(6, {"--service-us", "1000"})
                                     .WithNewVersion(3)
                                     .Build();
  std::unique_ptr<Driver> driver;

  void Drive(const std::string& seconds) {
    this->driver = this->fleet->Drive(
        {"--callers", "16", "--rate", "600", "--seconds", seconds,
         "--reserve-percent", "20", "--sheet-percent", "10"});
  }

  CommandResult Release(const std::vector<std::string>& words) {
    std::vector<std::string> arguments{"release"};
    arguments.insert(arguments.end(), words.begin(), words.end());
    arguments.insert(
        arguments.end(),
        {"--entry", ToString(this->fleet->OperationsOf("entry-2"))});
    return Fleet::Control(arguments);
  }

  [[nodiscard]] CommandResult Apply() const {
    return Fleet::Control(
        {"apply", "--entry", ToString(this->fleet->OperationsOf("entry-3")),
         "--inventory", this->fleet->Folder() + "/inventory.ini", "--rules",
         this->fleet->Folder() + "/rules.ini"});
  }

  /** Adds a rule that moves all traffic to version 2 within a wait. */
  void AddRule(const std::chrono::seconds wait) const {
    const std::time_t by =
        std::chrono::system_clock::to_time_t(std::chrono::system_clock::now()) +
        wait.count();
    std::ofstream{this->fleet->Folder() + "/rules.ini", std::ios::app}
        << "[release stock]\nversion = 2\nby = "
        << std::put_time(std::gmtime(&by), "%Y-%m-%dT%H:%M:%SZ") << '\n';
  }

  [[nodiscard]] std::string State() {
    const CommandResult result = this->Release({"status", "--output", "json"});
    const auto releases = nlohmann::json::parse(result.output, nullptr, false);
    return releases.is_array() && !releases.empty()
               ? releases.front().value("state", "")
               : "";
  }

  [[nodiscard]] std::int64_t HandledByNew() const {
    std::int64_t handled = 0;
    for (const char* target : {"stock-4", "stock-5", "stock-6"}) {
      handled += this->fleet->Counts(target).value("handled", std::int64_t{0});
    }
    return handled;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_release_on_real_processes, Fixture)

BOOST_AUTO_TEST_CASE(moves_a_good_version_over_by_its_time) {
  Drive("75");
  BOOST_REQUIRE(Release({"begin", "stock", "2", "--by", "70s"}).exit_code == 0);
  BOOST_TEST(HandledByNew() == 0);
  BOOST_TEST(Fleet::Await([&] { return State() == "done"; }, 70s));
  const std::int64_t before = HandledByNew();
  std::this_thread::sleep_for(1s);
  BOOST_TEST(HandledByNew() - before > 100);
  BOOST_TEST(Apply().output.find("revision") != std::string::npos);
  const std::int64_t applied = HandledByNew();
  std::this_thread::sleep_for(1s);
  BOOST_TEST(HandledByNew() - applied > 100, "an old register moved it back");
  BOOST_TEST(driver->Report().at("wrong").get<int>() == 0);
}

BOOST_AUTO_TEST_SUITE(ordered_by_a_rule)

BOOST_AUTO_TEST_CASE(begins_once_and_not_again_after_a_take_back) {
  AddRule(300s);
  BOOST_REQUIRE(Apply().exit_code == 0);
  BOOST_TEST(State() == "moving");
  BOOST_TEST(Release({"take-back", "stock"}).exit_code == 0);
  const auto revision = fleet->StatusOf("entry-3").at("revision");
  const CommandResult repeated = Apply();
  BOOST_TEST(repeated.exit_code == 0, repeated.output);
  BOOST_TEST(fleet->StatusOf("entry-3").at("revision") == revision);
  BOOST_TEST(State() == "taken-back");
  const CommandResult audit = Fleet::Control(
      {"audit", "--entry", ToString(fleet->OperationsOf("entry-1"))});
  BOOST_TEST(audit.output.find("added release-rule/stock\n"
                               "    added release/stock") != std::string::npos,
             audit.output);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_version_fails)

BOOST_AUTO_TEST_CASE(is_taken_back_and_gets_no_call_afterwards) {
  for (const char* target : {"stock-4", "stock-5", "stock-6"}) {
    fleet->Fault(target, "fail_percent", 50);
  }
  Drive("50");
  BOOST_REQUIRE(Release({"begin", "stock", "2", "--by", "70s"}).exit_code == 0);
  BOOST_REQUIRE(Fleet::Await([&] { return State() == "taken-back"; }, 45s));
  std::this_thread::sleep_for(3s);
  const std::int64_t before = HandledByNew();
  std::this_thread::sleep_for(1s);
  BOOST_TEST(HandledByNew() == before);
  const CommandResult audit = Fleet::Control(
      {"audit", "--entry", ToString(fleet->OperationsOf("entry-1"))});
  BOOST_TEST(audit.output.find("fail") != std::string::npos, audit.output);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
