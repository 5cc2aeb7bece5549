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

/** Fleet of four entries and two targets whose connections are limited. */
struct FleetWithConnectionLimit {
  explicit FleetWithConnectionLimit(const int connections)
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

  [[nodiscard]] bool AwaitOpenConnections(const int min_open) const {
    return Fleet::Await([&] {
      return this->Count("stock-1", "open") >= min_open &&
             this->Count("stock-2", "open") >= min_open;
    });
  }

  void CheckMaxOpenConnections() const {
    for (const char* target : {"stock-1", "stock-2"}) {
      BOOST_TEST(this->Count(target, "most_open") <= kConnections, target);
    }
  }

  std::unique_ptr<Fleet> fleet;
};

struct FewConnections : FleetWithConnectionLimit {
  FewConnections() : FleetWithConnectionLimit(kConnections) {}
};

struct ManyConnections : FleetWithConnectionLimit {
  ManyConnections() : FleetWithConnectionLimit(200) {}
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_fleet_whose_targets_accept_few_connections,
                         FewConnections)

BOOST_AUTO_TEST_CASE(
    uses_the_share_of_an_entry_that_leaves_and_stays_within_the_limit) {
  // Three shares of kConnections, which four entries divide.
  constexpr int kShareOfThreeEntries = 18;
  const auto driver = Drive("20");
  BOOST_TEST(AwaitOpenConnections(kShareOfThreeEntries + 1));
  fleet->List("entry-4", "gone");
  fleet->Signal("entry-4", SIGTERM);
  BOOST_TEST(fleet->AwaitExit("entry-4") == 0);
  CheckMaxOpenConnections();
  BOOST_TEST(AwaitOpenConnections(kShareOfThreeEntries + 1));
  fleet->Start("entry-4");
  const auto report = driver->Report();
  BOOST_TEST(report.at("answered").get<int>() > 100);
  BOOST_TEST(report.at("wrong").get<int>() == 0);
  CheckMaxOpenConnections();
}

BOOST_AUTO_TEST_CASE(closes_all_idle_connections_but_one_of_each_entry) {
  (void)Drive("4")->Report();
  BOOST_TEST(Fleet::Await([&] {
    return Count("stock-1", "open") <= kEntries &&
           Count("stock-2", "open") <= kEntries;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_fleet_whose_targets_accept_many_connections,
                         ManyConnections)

BOOST_AUTO_TEST_CASE(opens_them_at_a_limited_rate_after_a_target_restarts) {
  constexpr int kMaxOpenedPerSecond = 10;
  const auto driver = Drive("10");
  BOOST_TEST(AwaitOpenConnections(kEntries));
  fleet->Signal("stock-1", SIGKILL);
  fleet->Start("stock-1");
  BOOST_TEST(Fleet::Await([&] { return Count("stock-1", "open") > kEntries; }));
  (void)driver->Report();
  // Each entry may open one more at first. The factor of 2 allows for
  // connections that a busy machine delays into the same second.
  BOOST_TEST(Count("stock-1", "most_opened_in_a_second") <=
             2 * (kMaxOpenedPerSecond + kEntries));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
