#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "fleet/fleet.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;

/** Bound of the time in which a leaving target gets its last new work. */
constexpr std::chrono::seconds kBound{5};

struct Fixture {
  std::unique_ptr<Fleet> fleet =
      Fleet::Builder{}
          .WithEntries(3)
          .WithTargets(3, {"--service-us", "3000", "--stop-notice-ms", "1000"})
          .WithRules(
              "[service stock]\ntrust-refusals = yes\n"
              "cold-allowance = 6\n")
          .Build();
  std::unique_ptr<Driver> driver;

  /** Callers that make each call once, so that each cut one is seen. */
  void Drive(const std::string& seconds) {
    this->driver = this->fleet->Drive(
        {"--callers", "30", "--rate", "300", "--seconds", seconds,
         "--reserve-percent", "20", "--sheet-percent", "10"});
    BOOST_REQUIRE(Fleet::Await([&] { return this->Arrived() > 0; }));
  }

  /** Requests that came to the leaving target, taken or not. */
  [[nodiscard]] int Arrived() const {
    const auto counts = this->fleet->Counts("stock-1");
    return counts.at("handled").get<int>() + counts.at("shed").get<int>();
  }

  void CheckThatNothingArrivesAfterTheBound() const {
    std::this_thread::sleep_for(kBound);
    const int then = this->Arrived();
    const int others = this->fleet->Counts("stock-2").at("handled");
    BOOST_REQUIRE(Fleet::Await([&] {
      return this->fleet->Counts("stock-2").at("handled") > others + 100;
    }));
    BOOST_TEST(this->Arrived() == then);
  }

  void CheckThatNothingWasCut() const {
    const auto report = this->driver->Report();
    BOOST_TEST_MESSAGE(report.dump());
    BOOST_TEST(report.at("answered").get<int>() > 500);
    for (const char* bad :
         {"broken", "unknown", "failed", "wrong", "not_run"}) {
      BOOST_TEST(report.at(bad).get<int>() == 0, bad);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_target_that_leaves, Fixture)

BOOST_AUTO_TEST_CASE(by_the_list_gets_no_new_work) {
  Drive("9");
  fleet->List("stock-1", "leaving");
  CheckThatNothingArrivesAfterTheBound();
  CheckThatNothingWasCut();
}

BOOST_AUTO_TEST_CASE(by_its_own_word_gets_no_new_work) {
  Drive("9");
  fleet->Fault("stock-1", "drain", 2);
  CheckThatNothingArrivesAfterTheBound();
  CheckThatNothingWasCut();
}

BOOST_AUTO_TEST_CASE(with_refusals_of_new_work_cuts_no_request) {
  Drive("6");
  fleet->Signal("stock-1", SIGTERM);
  BOOST_TEST(fleet->AwaitExit("stock-1") == 0);
  CheckThatNothingWasCut();
}

BOOST_AUTO_TEST_CASE(after_the_list_told_so_cuts_no_request) {
  Drive("8");
  fleet->List("stock-1", "leaving");
  int before = -1;
  BOOST_REQUIRE(Fleet::Await([&] {
    const int last = std::exchange(before, Arrived());
    std::this_thread::sleep_for(500ms);
    return Arrived() == last;
  }));
  fleet->Signal("stock-1", SIGTERM);
  BOOST_TEST(fleet->AwaitExit("stock-1") == 0);
  CheckThatNothingWasCut();
}

BOOST_AUTO_TEST_CASE(one_after_the_other_cuts_no_request) {
  Drive("15");
  for (const char* target : {"stock-1", "stock-2", "stock-3"}) {
    fleet->List(target, "leaving");
    fleet->Signal(target, SIGTERM);
    BOOST_TEST(fleet->AwaitExit(target) == 0);
    fleet->Start(target);
    BOOST_REQUIRE(Fleet::Await(
        [&] { return this->fleet->Counts(target).at("handled") > 100; }));
  }
  CheckThatNothingWasCut();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
