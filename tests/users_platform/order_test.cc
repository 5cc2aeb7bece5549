#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "ordered.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;

/** Time in which an order is in force on the users' platform. */
constexpr std::chrono::milliseconds kInForce{2'000};
constexpr int kCalls = 100;
constexpr int kSecondEntry = 2;

struct Sequence : Ordered {
  /** Checks that no call reaches the second version any more and that each is
   * answered, once what was ordered is in force. */
  void CheckThatTheSecondGetsNothing(const int entry = 1) {
    std::this_thread::sleep_for(kInForce);
    const int runs = this->Target("b").Runs();
    for (int call = 0; call < kCalls; ++call) {
      BOOST_TEST(this->Call("/look/1", "POST", entry).status == 200);
    }
    BOOST_TEST(this->Target("b").Runs() == runs);
  }

  /** Has the second version ordered, and the third in its place. */
  void OrderOneAfterTheOther() {
    this->Order("v2");
    this->StartTarget("b", "v2");
    std::this_thread::sleep_for(1'500ms);
    this->Order("v3");
    this->StartTarget("c", "v3");
  }
};

}  // namespace

/** EXPOSURE: the targets of a bad version got a share like the old version's
 * once its release had given way to another order (review/10). */
BOOST_FIXTURE_TEST_SUITE(a_version_that_is_moved_to, Sequence)

BOOST_AUTO_TEST_SUITE(when_a_further_version_is_ordered)

BOOST_AUTO_TEST_CASE(gets_nothing_any_more) {
  StartDaemon();
  OrderOneAfterTheOther();
  CheckThatTheSecondGetsNothing();
}

BOOST_AUTO_TEST_CASE(gets_nothing_though_none_of_its_steps_was_stored) {
  StartDaemon();
  Order("v2");
  StartTarget("b", "v2");
  Order("v3");
  StartTarget("c", "v3");
  CheckThatTheSecondGetsNothing();
}

BOOST_AUTO_TEST_CASE(gets_nothing_from_an_entry_that_starts_afterwards) {
  StartDaemon();
  OrderOneAfterTheOther();
  BOOST_REQUIRE(BecomesState("v3", "running"));
  StartDaemon();
  CheckThatTheSecondGetsNothing();
}

BOOST_AUTO_TEST_CASE(gets_nothing_from_an_entry_that_has_a_peers_copy) {
  StartEntry();
  BOOST_REQUIRE(Await([this] { return Readiness() == 200; }));
  OrderOneAfterTheOther();
  BOOST_REQUIRE(BecomesState("v3", "running"));
  TurnAway(kSecondEntry);
  StartEntry(kSecondEntry, {}, {SeedOf(1)});
  BOOST_REQUIRE(Await([this] { return Readiness(kSecondEntry) == 200; }));
  CheckThatTheSecondGetsNothing(kSecondEntry);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_version_before_it_is_ordered_again)

BOOST_AUTO_TEST_CASE(is_taken_out_and_the_order_done) {
  StartDaemon();
  Order("v2");
  StartTarget("b", "v2");
  BOOST_REQUIRE(BecomesState("v2", "running"));
  Order("v1");
  CheckThatTheSecondGetsNothing();
  BOOST_TEST(BecomesState("v1", "completed"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

/** Calls were refused for as long as the order lasted (review/REPORT-2.md). */
BOOST_FIXTURE_TEST_SUITE(a_version_that_carries_the_traffic, Sequence)

BOOST_AUTO_TEST_CASE(serves_on_when_it_is_ordered) {
  StartDaemon();
  Order("v1");
  CheckThatTheSecondGetsNothing();
  BOOST_TEST(BecomesState("v1", "completed"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
