#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fleet/fleet.h"

namespace trefoilbend::tests {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int kChanges = 8;
constexpr std::array kEntries{"entry-1", "entry-2", "entry-3"};

/** Takes the platform down and up again, and loses answers, until it ends. */
class Flapping {
 public:
  explicit Flapping(Fleet& fleet)
      : fleet(fleet), thread([this] { this->Run(); }) {}

  ~Flapping() {
    this->stop = true;
    this->thread.join();
    this->fleet.Fault("platform", "down", 0);
    this->fleet.Fault("platform", "lose_answers", 0);
  }

 private:
  void Run() {
    while (!this->stop) {
      this->fleet.Fault("platform", "down", 1);
      std::this_thread::sleep_for(300ms);
      this->fleet.Fault("platform", "down", 0);
      this->fleet.Fault("platform", "lose_answers", 1);
      std::this_thread::sleep_for(500ms);
    }
  }

  Fleet& fleet;
  std::atomic<bool> stop = false;
  std::thread thread;
};

struct Fixture {
  std::unique_ptr<Fleet> fleet =
      Fleet::Builder{}.WithEntries(3).WithTargets(4).Build();

  [[nodiscard]] std::uint64_t RevisionOf(const std::string& entry) const {
    return this->fleet->StatusOf(entry).value("revision", std::uint64_t{0});
  }

  [[nodiscard]] bool AllHave(const std::uint64_t revision) const {
    return Fleet::Await([&] {
      for (const char* entry : kEntries) {
        if (this->RevisionOf(entry) != revision) {
          return false;
        }
      }
      return true;
    });
  }

  /** Takes a data centre out, or in with each second change. */
  [[nodiscard]] bool Change(const std::string& data_centre,
                            const int change) const {
    const std::string& entry = kEntries.at(change % kEntries.size());
    std::vector<std::string> arguments{
        "data-centre",
        change % 2 == 0 ? "out" : "in",
        data_centre,
        "--id",
        data_centre + "-" + std::to_string(change),
        "--entry",
        ToString(this->fleet->OperationsOf(entry))};
    if (change % 2 == 0) {
      arguments.emplace_back("--force");
    }
    return Fleet::Control(arguments).exit_code == 0;
  }

  /** Makes changes of one data centre in turn, each until it is accepted. */
  [[nodiscard]] bool Operate(const std::string& data_centre) const {
    for (int change = 0; change < kChanges; ++change) {
      const auto is_accepted = [&] {
        return this->Change(data_centre, change);
      };
      if (!Fleet::Await(is_accepted, 60s)) {
        return false;
      }
    }
    return true;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_fleet_whose_platform_is_in_trouble, Fixture)

BOOST_AUTO_TEST_SUITE(that_flaps_and_loses_answers)

BOOST_AUTO_TEST_CASE(makes_each_change_of_two_operators_once_and_reverts_none) {
  {
    const Flapping flapping{*fleet};
    auto other =
        std::async(std::launch::async, [&] { return Operate("xela-2"); });
    std::array<std::uint64_t, kEntries.size()> newest{};
    auto operating =
        std::async(std::launch::async, [&] { return Operate("xela-1"); });
    while (operating.wait_for(20ms) != std::future_status::ready) {
      for (std::size_t i = 0; i < kEntries.size(); ++i) {
        const std::uint64_t revision = RevisionOf(kEntries.at(i));
        BOOST_REQUIRE(revision >= newest.at(i));
        newest.at(i) = revision;
      }
    }
    BOOST_TEST(operating.get());
    BOOST_TEST(other.get());
  }
  BOOST_TEST(AllHave(1 + 2 * kChanges));
  BOOST_TEST(Change("xela-1", 0));
  BOOST_TEST(Change("xela-2", 0));
  BOOST_TEST(AllHave(1 + 2 * kChanges), "a repeated change ran again");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_slow)

BOOST_AUTO_TEST_CASE(serves_every_call_and_takes_the_change_once) {
  const auto driver =
      fleet->Drive({"--callers", "8", "--rate", "200", "--seconds", "6"});
  fleet->Fault("platform", "slow_ms", 700);
  const auto is_accepted = [&] {
    return Fleet::Control({"data-centre", "out", "xela-2", "--force", "--id",
                           "slow-1", "--entry",
                           ToString(fleet->OperationsOf("entry-2"))})
               .exit_code == 0;
  };
  BOOST_TEST(Fleet::Await(is_accepted, 60s));
  BOOST_TEST(AllHave(2));
  const json report = driver->Report();
  for (const char* bad : {"not_run", "unknown", "broken", "wrong"}) {
    BOOST_TEST(report.at(bad).get<int>() == 0, bad);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_comes_back_after_a_long_outage)

BOOST_AUTO_TEST_CASE(reads_what_was_changed_with_few_reads_and_writes) {
  fleet->Fault("platform", "down", 1);
  const CommandResult refused =
      Fleet::Control({"data-centre", "out", "xela-2", "--force", "--entry",
                      ToString(fleet->OperationsOf("entry-1"))});
  BOOST_TEST(refused.exit_code == 1, refused.output);
  BOOST_TEST(refused.output.find("Nothing was changed") != std::string::npos,
             refused.output);
  BOOST_TEST(!Fleet::Await([&] { return RevisionOf("entry-1") != 1; }, 6s));
  const auto count = [&](const char* name) {
    return fleet->Counts("platform").at(name).get<int>();
  };
  const int reads = count("reads");
  const int writes = count("writes");
  fleet->Fault("platform", "down", 0);
  const CommandResult accepted =
      Fleet::Control({"data-centre", "out", "xela-2", "--force", "--entry",
                      ToString(fleet->OperationsOf("entry-1"))});
  BOOST_TEST(accepted.exit_code == 0, accepted.output);
  BOOST_TEST(AllHave(2));
  BOOST_TEST(count("reads") - reads < 2'000);
  BOOST_TEST(count("writes") - writes < 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
