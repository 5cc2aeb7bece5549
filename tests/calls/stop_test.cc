#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
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
                                     .WithTargets(3, {"--service-us", "3000"})
                                     .Build();

  /** Callers that make each call once, so that each cut one is seen. */
  [[nodiscard]] std::unique_ptr<Driver> Drive(const std::string& seconds) {
    return this->fleet->Drive({"--callers", "30", "--rate", "300", "--seconds",
                               seconds, "--reserve-percent", "20",
                               "--sheet-percent", "10"});
  }

  void Stop(const std::string& entry) {
    this->fleet->List(entry, "leaving");
    this->fleet->Signal(entry, SIGTERM);
    BOOST_TEST(this->fleet->AwaitExit(entry) == 0);
  }
};

void CheckThatNothingWasCut(const nlohmann::json& report) {
  BOOST_TEST_MESSAGE(report.dump());
  BOOST_TEST(report.at("answered").get<int>() > 500);
  for (const char* bad : {"broken", "unknown", "failed", "wrong"}) {
    BOOST_TEST(report.at(bad).get<int>() == 0, bad);
  }
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_planned_stop_under_load, Fixture)

BOOST_AUTO_TEST_CASE(of_an_entry_cuts_no_request) {
  const auto driver = Drive("5");
  std::this_thread::sleep_for(500ms);
  Stop("entry-1");
  CheckThatNothingWasCut(driver->Report());
}

BOOST_AUTO_TEST_CASE(of_all_entries_in_turn_cuts_no_request) {
  const auto driver = Drive("12");
  for (const char* entry : {"entry-1", "entry-2", "entry-3"}) {
    Stop(entry);
    fleet->Start(entry);
    BOOST_REQUIRE(Fleet::Await(
        [&] { return fleet->StatusOf(entry).value("revision", 0) > 0; }));
  }
  CheckThatNothingWasCut(driver->Report());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(settings_that_are_read_again_under_load, Fixture)

BOOST_AUTO_TEST_CASE(by_signals_cut_no_request) {
  const auto driver = Drive("4");
  for (int round = 0; round < 5; ++round) {
    for (const char* entry : {"entry-1", "entry-2", "entry-3"}) {
      fleet->Signal(entry, SIGHUP);
    }
    std::this_thread::sleep_for(300ms);
  }
  for (const char* entry : {"entry-1", "entry-2", "entry-3"}) {
    BOOST_TEST(fleet->IsRunning(entry));
  }
  CheckThatNothingWasCut(driver->Report());
}

BOOST_AUTO_TEST_CASE(with_mistakes_leave_the_entry_at_work) {
  const auto driver = Drive("4");
  std::ofstream{fleet->Folder() + "/entry-2.ini", std::ios::app}
      << "[log]\nlevel = shouting\n";
  fleet->Signal("entry-2", SIGHUP);
  std::this_thread::sleep_for(1s);
  BOOST_TEST(fleet->IsRunning("entry-2"));
  CheckThatNothingWasCut(driver->Report());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
