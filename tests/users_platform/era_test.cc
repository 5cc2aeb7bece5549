#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "ordered.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;
using boost::unit_test::label;
using stand_ins::Return;

/** Time in which a change is in force on the users' platform. */
constexpr std::chrono::milliseconds kInForce{2'000};
/** Time in which a change holds after the store was unstable: as long, and the
 * greatest time by which that stretches it. */
constexpr std::chrono::milliseconds kInForceAfterTrouble{7'000};
/** Time by which the operators' bound on a data centre that is out holds. */
constexpr std::chrono::milliseconds kOut{5'000};
/** Time within which an entry has heard of the store's newest version. */
constexpr std::chrono::milliseconds kHeard{1'500};
/** Writes that the copy lacks, so that versions have to catch up. */
constexpr int kLost = 12;
constexpr int kCalls = 60;
constexpr const char* kOutOrder = "op/evacuate/near";

/** An entry as a process of its own, and a store that comes back from a copy.
 * Targets a and b are near, c is far. */
struct Drill : Platform {
  Drill() {
    this->WriteDesiredState(1);
    this->StartDaemon();
  }

  void TakeCopy() {
    this->OnStore([](stand_ins::Store& store) { store.TakeCopy(); });
  }

  /** Writes of others that the copy lacks and the entry has heard of. */
  void WriteOn(const int writes = kLost) {
    this->OnStore([writes](stand_ins::Store& store) { Fill(store, writes); });
    std::this_thread::sleep_for(kHeard);
  }

  static void Fill(stand_ins::Store& store, const int writes) {
    for (int write = 0; write < writes; ++write) {
      store.Write("other/row", "of another system");
    }
  }

  /** The store is away and comes back from the copy. */
  void ComeBack(const Return& how = {.away = 500ms}) {
    std::uint64_t era = 0;
    this->OnStore([&](stand_ins::Store& store) {
      era = store.Era();
      store.ComeBackFromCopy(how);
    });
    BOOST_REQUIRE(Await([&] {
      std::uint64_t now = 0;
      this->OnStore([&](stand_ins::Store& store) { now = store.Era(); });
      return now > era;
    }));
  }

  /** The same, and what is written first gets the versions that the entry
   * knows, so that no read of it is answered 410. */
  void ComeBackAndCatchUp(
      const std::function<void(stand_ins::Store&)>& write_first) {
    std::uint64_t known = 0;
    this->OnStore([&](stand_ins::Store& store) {
      known = store.Version();
      store.ComeBackFromCopy({.away = 500ms, .rewritten_within = std::nullopt});
    });
    const std::uint64_t era = 1;
    bool written = false;
    BOOST_REQUIRE(Await([&] {
      this->OnStore([&](stand_ins::Store& store) {
        if (store.Era() > era && !written) {
          write_first(store);
          Fill(store, static_cast<int>(known - store.Version()));
          written = true;
        }
      });
      return written;
    }));
  }

  void Write(const std::string& key, const std::optional<std::string>& value) {
    this->OnStore([&](stand_ins::Store& store) { store.Write(key, value); });
  }

  [[nodiscard]] bool StoreHas(const std::string& key) {
    bool found = false;
    this->OnStore(
        [&](stand_ins::Store& store) { found = store.Read(key).has_value(); });
    return found;
  }

  /** Whether calls go to a target alone in time, and stay there. */
  [[nodiscard]] bool UsesOnly(const std::string& target,
                              const std::chrono::milliseconds limit,
                              const int entry = 1) {
    const bool once = Await(
        [&] { return this->Answers(entry) == std::vector{target}; }, limit);
    return once && this->Answers(entry) == std::vector{target};
  }

  /** Who answers a number of calls, each once; empty for a refusal. */
  [[nodiscard]] std::vector<std::string> Answers(const int entry = 1) {
    std::vector<std::string> answers;
    for (int call = 0; call < kCalls; ++call) {
      const auto answer = this->Call("/look/1", "GET", entry);
      answers.push_back(answer.status == 200 ? answer.body : "");
    }
    std::sort(answers.begin(), answers.end());
    answers.erase(std::unique(answers.begin(), answers.end()), answers.end());
    return answers;
  }
};

/** The same with orders of releases; all calls may be made once only. */
struct OrderedDrill : Ordered {
  OrderedDrill() { this->StartDaemon(); }

  /** The store comes back from the copy that it has taken; what is written
   * first gets versions that the entry knows. */
  void ComeBack(const Return& how,
                const std::function<void(stand_ins::Store&)>& write_first) {
    std::uint64_t era = 0;
    this->OnStore([&](stand_ins::Store& store) {
      era = store.Era();
      store.ComeBackFromCopy(how);
    });
    bool written = false;
    BOOST_REQUIRE(Await([&] {
      this->OnStore([&](stand_ins::Store& store) {
        if (store.Era() > era && !written) {
          write_first(store);
          written = true;
        }
      });
      return written;
    }));
  }

  /** Calls until the store holds a state of the second version's release.
   * Returns whether it does in time. */
  [[nodiscard]] bool CallUntil(const std::string& state) {
    return Await(
        [&] {
          this->statuses[this->Call("/look/1", "POST").status] += 1;
          return this->HasState("v2", state);
        },
        20s);
  }

  std::map<int, int> statuses;
};

/** Three entries, of which two read the store for all. */
struct DrillOfThree : Drill {
  DrillOfThree() {
    for (const int entry : {2, 3}) {
      this->StartEntry(entry, {}, {this->SeedOf(1)});
    }
    BOOST_REQUIRE(Await([this] {
      return this->Readiness(2) == 200 && this->Readiness(3) == 200;
    }));
    std::this_thread::sleep_for(2s);
  }

  [[nodiscard]] bool AllBecome(const std::string& path, const int status,
                               const std::chrono::milliseconds limit) {
    return Await(
        [&] {
          return std::all_of(kEntries.begin(), kEntries.end(), [&](int entry) {
            return this->Call(path, "GET", entry).status == status;
          });
        },
        limit);
  }

  [[nodiscard]] bool AllUseOnly(const std::string& target,
                                const std::chrono::milliseconds limit) {
    return Await(
        [&] {
          return std::all_of(kEntries.begin(), kEntries.end(), [&](int entry) {
            return this->Answers(entry) == std::vector{target};
          });
        },
        limit);
  }

  static constexpr std::array<int, 3> kEntries{1, 2, 3};
};

}  // namespace

/** CONFIG: a desired state was not in force until the store's versions had
 * passed those from before (review/13). EVAC: what got a version that was known
 * already was never heard of (review/14). */
BOOST_FIXTURE_TEST_SUITE(a_store_that_comes_back_from_an_older_copy, Drill,
                         *label("eras"))

BOOST_AUTO_TEST_SUITE(in_quiet_times)

BOOST_AUTO_TEST_CASE(has_its_next_desired_state_in_force_in_time) {
  TakeCopy();
  WriteOn();
  ComeBack();
  std::this_thread::sleep_for(1s);
  WriteDesiredState(2, "/other/");
  BOOST_TEST(Await([this] { return Call("/other/").status == 200; }, kInForce));
}

BOOST_AUTO_TEST_CASE(has_an_order_in_force_whose_version_was_known_already) {
  TakeCopy();
  WriteOn();
  ComeBackAndCatchUp(
      [](stand_ins::Store& store) { store.Write(kOutOrder, "{}"); });
  BOOST_TEST(UsesOnly("c", kOut));
}

BOOST_AUTO_TEST_CASE(loses_no_call_meanwhile) {
  TakeCopy();
  Write("servers/b", std::nullopt);
  Write("servers/b", Target("b").Entry());
  WriteOn();
  ComeBack({.away = 500ms, .rewritten_within = 3s});
  const auto until = std::chrono::steady_clock::now() + 5s;
  while (std::chrono::steady_clock::now() < until) {
    BOOST_TEST(Call("/look/1").status == 200);
  }
}

BOOST_AUTO_TEST_CASE(gets_the_registration_of_the_entry_again) {
  const std::string row = "fleet/entry/entry-1";
  OnStore([](stand_ins::Store& store) {
    store.Write("fleet/entry/entry-1", std::nullopt);
    store.TakeCopy();
  });
  BOOST_REQUIRE(Await([&] { return StoreHas(row); }));
  WriteOn();
  ComeBack();
  BOOST_TEST(Await([&] { return StoreHas(row); }, kInForce));
}

BOOST_AUTO_TEST_CASE(is_told_of_in_the_metrics) {
  TakeCopy();
  Write(kOutOrder, "{}");
  BOOST_REQUIRE(UsesOnly("c", kOut));
  ComeBack({.away = 500ms, .rewritten_within = std::nullopt});
  BOOST_TEST(Await([this] {
    const std::string metrics = Metrics();
    return metrics.find("trefoilbend_store_eras_total 1") !=
               std::string::npos &&
           metrics.find("trefoilbend_store_held_rows 1") != std::string::npos;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_a_data_centre_is_out)

BOOST_AUTO_TEST_CASE(has_no_call_sent_there_before_that_is_written_again) {
  TakeCopy();
  Write(kOutOrder, "{}");
  BOOST_REQUIRE(UsesOnly("c", kOut));
  WriteOn();
  ComeBack({.away = 500ms, .rewritten_within = std::nullopt});
  for (int second = 0; second < 3; ++second) {
    BOOST_TEST((Answers() == std::vector<std::string>{"c"}));
    std::this_thread::sleep_for(1s);
  }
  Write(kOutOrder, "{}");
  BOOST_TEST(UsesOnly("c", kInForce));
}

BOOST_AUTO_TEST_CASE(has_calls_sent_there_again_once_that_is_over) {
  TakeCopy();
  Write(kOutOrder, "{}");
  BOOST_REQUIRE(UsesOnly("c", kOut));
  ComeBack();
  std::this_thread::sleep_for(1s);
  Write(kOutOrder, std::nullopt);
  BOOST_TEST(Await([this] { return Call("/look/1").body != "c"; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_targets_leave)

BOOST_AUTO_TEST_CASE(brings_none_back_that_was_draining_or_gone) {
  TakeCopy();
  Write("servers/a", Target("a").Entry("draining"));
  Write("servers/b", std::nullopt);
  BOOST_REQUIRE(UsesOnly("c", kInForce));
  WriteOn();
  ComeBack({.away = 500ms, .rewritten_within = 4s});
  const auto until = std::chrono::steady_clock::now() + 6s;
  while (std::chrono::steady_clock::now() < until) {
    BOOST_TEST(Call("/look/1").body == "c");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(twice)

BOOST_AUTO_TEST_CASE(has_its_next_desired_state_in_force_in_time_all_the_same) {
  TakeCopy();
  Write(kOutOrder, "{}");
  BOOST_REQUIRE(UsesOnly("c", kOut));
  WriteOn();
  ComeBack({.away = 500ms, .rewritten_within = std::nullopt});
  std::this_thread::sleep_for(2'500ms);
  ComeBack({.away = 500ms, .rewritten_within = std::nullopt});
  std::this_thread::sleep_for(1s);
  BOOST_TEST((Answers() == std::vector<std::string>{"c"}));
  WriteDesiredState(2, "/other/");
  BOOST_TEST(Await([this] { return Call("/other/").status == 200; }, kInForce));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(three_entries_of_such_a_store, DrillOfThree,
                         *label("eras"))

BOOST_AUTO_TEST_CASE(have_the_next_desired_state_in_force_in_time) {
  TakeCopy();
  WriteOn();
  ComeBack();
  std::this_thread::sleep_for(1s);
  WriteDesiredState(2, "/other/");
  BOOST_TEST(AllBecome("/other/", 200, kInForce));
}

BOOST_AUTO_TEST_CASE(have_an_order_in_force_whose_version_was_known_already) {
  TakeCopy();
  WriteOn();
  ComeBackAndCatchUp(
      [](stand_ins::Store& store) { store.Write(kOutOrder, "{}"); });
  BOOST_TEST(AllUseOnly("c", kOut));
}

BOOST_AUTO_TEST_CASE(know_what_one_was_cut_off_from_over_two_returns) {
  TurnAway(3);
  for (int count = 0; count < 2; ++count) {
    TakeCopy();
    WriteOn();
    ComeBack();
    std::this_thread::sleep_for(1s);
  }
  WriteDesiredState(2, "/other/");
  TurnAway(3, false);
  BOOST_TEST(AllBecome("/other/", 200, kInForceAfterTrouble));
}

BOOST_AUTO_TEST_CASE(keep_a_data_centre_out_though_one_starts_meanwhile) {
  TakeCopy();
  Write(kOutOrder, "{}");
  BOOST_REQUIRE(AllUseOnly("c", kOut));
  OnStore([](stand_ins::Store& store) { store.faults.busy = true; });
  EndEntry(3);
  StartEntry(3, {}, {SeedOf(1), SeedOf(1)});
  BOOST_REQUIRE(Await([this] { return Readiness(3) == 200; }));
  BOOST_TEST((Answers(3) == std::vector<std::string>{"c"}));
  ComeBack({.away = 500ms, .rewritten_within = 1s});
  const auto until = std::chrono::steady_clock::now() + 4s;
  while (std::chrono::steady_clock::now() < until) {
    BOOST_TEST((Answers(3) == std::vector<std::string>{"c"}));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_release_of_such_a_store, OrderedDrill,
                         *label("eras"))

/** EXPOSURE: an order that got a version which was known already was not heard
 * of, and the bad version's targets taken for ordinary ones (review/12). */
BOOST_AUTO_TEST_CASE(is_heard_of_and_taken_back_if_its_version_is_bad) {
  std::uint64_t known = 0;
  OnStore([&](stand_ins::Store& store) {
    store.TakeCopy();
    Drill::Fill(store, kLost);
    known = store.Version();
  });
  std::this_thread::sleep_for(kHeard);
  Target("b").Behave(Conduct::kFails);
  ComeBack({.away = 500ms, .rewritten_within = std::nullopt},
           [&](stand_ins::Store& store) {
             Order(store, "v2");
             Drill::Fill(store, static_cast<int>(known - store.Version()));
           });
  StartTarget("b", "v2");
  BOOST_TEST(CallUntil("rolled_back"));
  const int runs = Target("b").Runs();
  constexpr int kSlack = 50;
  BOOST_TEST(runs <= Runs() / 10 + kSlack);
  for (int call = 0; call < kCalls; ++call) {
    BOOST_TEST(Call("/look/1", "POST").status == 200);
  }
  BOOST_TEST(Target("b").Runs() == runs);
}

BOOST_AUTO_TEST_CASE(stays_taken_back) {
  Target("b").Behave(Conduct::kFails);
  Order("v2");
  StartTarget("b", "v2");
  OnStore([](stand_ins::Store& store) { store.TakeCopy(); });
  BOOST_REQUIRE(CallUntil("rolled_back"));
  std::this_thread::sleep_for(1s);
  const int runs = Target("b").Runs();
  ComeBack({.away = 500ms, .rewritten_within = 1s},
           [](stand_ins::Store& /*store*/) {});
  BOOST_TEST(CallUntil("rolled_back"));
  BOOST_TEST(Target("b").Runs() == runs);
}

BOOST_AUTO_TEST_CASE(stays_completed_once_its_old_targets_have_stopped) {
  OnStore([](stand_ins::Store& store) { store.TakeCopy(); });
  Order("v2");
  StartTarget("b", "v2");
  BOOST_REQUIRE(CallUntil("completed"));
  std::this_thread::sleep_for(1s);
  const int runs = Target("a").Runs();
  ComeBack({.away = 500ms, .rewritten_within = 1s},
           [](stand_ins::Store& /*store*/) {});
  BOOST_TEST(CallUntil("completed"));
  BOOST_TEST(Target("a").Runs() == runs);
  BOOST_TEST(statuses.size() == 1);
}

BOOST_AUTO_TEST_CASE(is_completed_though_its_steps_were_lost) {
  OnStore([](stand_ins::Store& store) { store.TakeCopy(); });
  Order("v2");
  StartTarget("b", "v2");
  BOOST_REQUIRE(CallUntil("running"));
  ComeBack({.away = 500ms, .rewritten_within = 2s},
           [](stand_ins::Store& /*store*/) {});
  BOOST_TEST(CallUntil("completed"));
  BOOST_TEST(statuses.size() == 1);
}

BOOST_AUTO_TEST_CASE(goes_on_though_its_order_was_lost_before_its_first_step) {
  OnStore([](stand_ins::Store& store) { store.TakeCopy(); });
  OnStore([](stand_ins::Store& store) { Order(store, "v2"); });
  ComeBack({.away = 500ms, .rewritten_within = 1s},
           [](stand_ins::Store& /*store*/) {});
  StartTarget("b", "v2");
  BOOST_TEST(CallUntil("completed"));
  BOOST_TEST(statuses.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
