#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "fleet/fleet.h"

namespace trefoilbend::tests {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

struct Fixture {
  std::unique_ptr<Fleet> fleet =
      Fleet::Builder{}.WithEntries(5).WithTargets(2).Build();

  [[nodiscard]] std::string StateOf(const std::string& observer,
                                    const std::string& peer) const {
    const json status = this->fleet->StatusOf(observer);
    for (const json& one : status.value("peers", json::array())) {
      if (one.at("name") == peer) {
        return one.at("state");
      }
    }
    return "unknown";
  }

  [[nodiscard]] bool Becomes(const std::string& observer,
                             const std::string& peer, const std::string& state,
                             const std::chrono::milliseconds limit) const {
    return Fleet::Await([&] { return this->StateOf(observer, peer) == state; },
                        limit);
  }

  [[nodiscard]] bool IsCurrent(const std::string& entry) const {
    return this->fleet->StatusOf(entry).value("current", false);
  }

  [[nodiscard]] int RevisionOf(const std::string& entry) const {
    return this->fleet->StatusOf(entry).value("revision", 0);
  }

  [[nodiscard]] CommandResult TakeOut() const {
    return Fleet::Control({"data-centre", "out", "xela-2", "--force", "--entry",
                           ToString(this->fleet->OperationsOf("entry-1"))});
  }

  [[nodiscard]] bool AllAlive() const {
    return Fleet::Await([&] {
      for (const char* peer : {"entry-2", "entry-3", "entry-4", "entry-5"}) {
        if (this->StateOf("entry-1", peer) != "alive") {
          return false;
        }
      }
      return true;
    });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(five_entries_that_gossip, Fixture)

BOOST_AUTO_TEST_CASE(know_each_other_alive_and_are_current) {
  BOOST_TEST(AllAlive());
  BOOST_TEST(IsCurrent("entry-1"));
}

BOOST_AUTO_TEST_CASE(read_the_list_of_instances_only_when_it_has_changed) {
  const auto lists = [&] {
    return fleet->Counts("platform").at("lists").get<int>();
  };
  BOOST_TEST(AllAlive());
  const int before = lists();
  BOOST_TEST(!Fleet::Await([&] { return lists() != before; }, 2s));
  fleet->List("stock-9", "live");
  BOOST_TEST(Fleet::Await([&] { return lists() == before + 5; }, 3s));
}

BOOST_AUTO_TEST_SUITE(when_one_leaves)

BOOST_AUTO_TEST_CASE(hear_of_it_within_a_second) {
  BOOST_TEST(AllAlive());
  fleet->Signal("entry-5", SIGTERM);
  for (const char* observer : {"entry-1", "entry-2", "entry-3", "entry-4"}) {
    BOOST_TEST(Becomes(observer, "entry-5", "leaving", 1s), observer);
  }
  BOOST_TEST(fleet->AwaitExit("entry-5") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_one_is_frozen)

BOOST_AUTO_TEST_CASE(suspect_it_first_and_take_it_back_when_it_goes_on) {
  BOOST_TEST(AllAlive());
  fleet->Signal("entry-5", SIGSTOP);
  BOOST_TEST(Becomes("entry-1", "entry-5", "suspect", 7s));
  BOOST_TEST(Becomes("entry-1", "entry-5", "dead", 12s));
  fleet->Signal("entry-5", SIGCONT);
  BOOST_TEST(Becomes("entry-1", "entry-5", "alive", 5s));
  BOOST_TEST(Fleet::Await([&] { return IsCurrent("entry-5"); }, 5s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_the_platform_is_down)

BOOST_AUTO_TEST_CASE(stay_current_by_most_of_them_and_not_with_fewer) {
  BOOST_TEST(AllAlive());
  fleet->Fault("platform", "down", 1);
  BOOST_TEST(!Fleet::Await([&] { return !IsCurrent("entry-1"); }, 8s));
  for (const char* entry : {"entry-3", "entry-4", "entry-5"}) {
    fleet->Signal(entry, SIGKILL);
  }
  BOOST_TEST(Fleet::Await([&] { return !IsCurrent("entry-1"); }, 5s));
  fleet->Fault("platform", "down", 0);
  BOOST_TEST(Fleet::Await([&] { return IsCurrent("entry-1"); }, 6s));
}

BOOST_AUTO_TEST_CASE(give_a_new_process_the_newest_configuration) {
  BOOST_TEST(TakeOut().exit_code == 0);
  BOOST_TEST(AllAlive());
  fleet->Signal("entry-5", SIGKILL);
  fleet->Fault("platform", "down", 1);
  fleet->Start("entry-5");
  BOOST_TEST(Fleet::Await([&] { return RevisionOf("entry-5") == 2; }, 5s));
  BOOST_TEST(Fleet::Await([&] { return IsCurrent("entry-5"); }, 5s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(
    when_a_frozen_one_missed_a_change_and_the_platform_is_gone)

BOOST_AUTO_TEST_CASE(pass_the_change_on_to_it) {
  BOOST_TEST(AllAlive());
  fleet->Signal("entry-5", SIGSTOP);
  BOOST_TEST(TakeOut().exit_code == 4);
  fleet->Fault("platform", "down", 1);
  fleet->Signal("entry-5", SIGCONT);
  BOOST_TEST(Fleet::Await([&] { return RevisionOf("entry-5") == 2; }, 5s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_all_are_restarted_at_once)

BOOST_AUTO_TEST_CASE(come_back_with_the_newest_revision_in_few_reads) {
  BOOST_TEST(TakeOut().exit_code == 0);
  for (int i = 1; i <= 5; ++i) {
    fleet->Signal("entry-" + std::to_string(i), SIGKILL);
  }
  const int before = fleet->Counts("platform").at("reads").get<int>();
  for (int i = 1; i <= 5; ++i) {
    fleet->Start("entry-" + std::to_string(i));
  }
  for (int i = 1; i <= 5; ++i) {
    BOOST_TEST(Fleet::Await(
        [&] { return RevisionOf("entry-" + std::to_string(i)) == 2; }, 5s));
  }
  const int reads = fleet->Counts("platform").at("reads").get<int>() - before;
  BOOST_TEST(reads < 200, "reads " << reads);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
