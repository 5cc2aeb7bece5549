#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace trefoilbend::tests {

namespace {

constexpr int kEntries = 4;
constexpr int kConnections = 24;

/** Four entries and two targets. */
struct Fleets {
  explicit Fleets(const int connections)
      : fleet(Fleet::Builder{}
                  .WithEntries(kEntries)
                  .WithTargets(2, {"--service-us", "100000"})
                  .WithConnections(connections)
                  .WithSetting("forwarding.share-delay=5s")
                  .WithSetting("forwarding.idle-timeout=500ms")
                  .WithSetting("forwarding.connection-percent=1")
                  .Build()) {}

  [[nodiscard]] std::unique_ptr<Driver> Drive(
      const std::string& seconds) const {
    return this->fleet->Drive(
        {"--callers", "120", "--rate", "0", "--seconds", seconds});
  }

  [[nodiscard]] int Count(const std::string& target,
                          const std::string& name) const {
    return this->fleet->Counts(target).at(name).get<int>();
  }

  [[nodiscard]] bool AwaitOpen(const int min_open) const {
    return Fleet::Await([&] {
      return this->Count("stock-1", "open") >= min_open &&
             this->Count("stock-2", "open") >= min_open;
    });
  }

  void CheckMaxOpen() const {
    for (const char* target : {"stock-1", "stock-2"}) {
      BOOST_TEST(this->Count(target, "most_open") <= kConnections, target);
    }
  }

  std::unique_ptr<Fleet> fleet;
};

struct FewConnections : Fleets {
  FewConnections() : Fleets(kConnections) {}
};

struct ManyConnections : Fleets {
  ManyConnections() : Fleets(200) {}
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_fleet_whose_targets_bear_few_connections,
                         FewConnections)

BOOST_AUTO_TEST_CASE(uses_them_all_but_no_more_while_an_entry_leaves) {
  constexpr int kShareOfThree = 18;
  const auto driver = Drive("20");
  BOOST_TEST(AwaitOpen(kShareOfThree + 1));
  fleet->List("entry-4", "gone");
  fleet->Signal("entry-4", SIGTERM);
  BOOST_TEST(fleet->AwaitExit("entry-4") == 0);
  CheckMaxOpen();
  BOOST_TEST(AwaitOpen(kShareOfThree + 1));
  fleet->Start("entry-4");
  const auto report = driver->Report();
  BOOST_TEST(report.at("answered").get<int>() > 100);
  BOOST_TEST(report.at("wrong").get<int>() == 0);
  CheckMaxOpen();
}

BOOST_AUTO_TEST_CASE(closes_all_idle_ones_but_one_of_each_entry) {
  (void)Drive("4")->Report();
  BOOST_TEST(Fleet::Await([&] {
    return Count("stock-1", "open") <= kEntries &&
           Count("stock-2", "open") <= kEntries;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_fleet_whose_targets_bear_many_connections,
                         ManyConnections)

BOOST_AUTO_TEST_CASE(opens_them_slowly_after_a_target_restarted) {
  constexpr int kMaxOpenedPerSecond = 10;
  const auto driver = Drive("10");
  BOOST_TEST(AwaitOpen(kEntries));
  fleet->Signal("stock-1", SIGKILL);
  fleet->Start("stock-1");
  BOOST_TEST(Fleet::Await([&] { return Count("stock-1", "open") > kEntries; }));
  (void)driver->Report();
  // One more of each entry at first, and as much again for those that the
  // machine delayed.
  BOOST_TEST(Count("stock-1", "most_opened_in_a_second") <=
             2 * (kMaxOpenedPerSecond + kEntries));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
