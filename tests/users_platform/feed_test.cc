#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

#include "platform.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;

/** Time in which a change is in force on the users' platform. */
constexpr std::chrono::milliseconds kInForce{2'000};
/** Time in which listeners turn to readers that were started again. */
constexpr std::chrono::seconds kTurned{10};
constexpr int kFleet = 5;

/** Five entries, two of which read the store for all. */
struct Fleet : Platform {
  Fleet() {
    this->WriteDesiredState(1);
    for (int number = 1; number <= kFleet; ++number) {
      this->StartEntry(number);
    }
    BOOST_REQUIRE(Await([this] { return this->Listeners().size() == 3; }));
  }

  /** Numbers of the entries that hear from a peer. */
  [[nodiscard]] std::map<int, bool> Listeners() const {
    std::map<int, bool> listeners;
    for (int number = 1; number <= kFleet; ++number) {
      if (this->Metrics(number).find("\ntrefoilbend_store_listens 1") !=
          std::string::npos) {
        listeners[number] = true;
      }
    }
    return listeners;
  }

  /** Numbers of the entries that read the store for all. */
  [[nodiscard]] std::vector<int> Readers() const {
    std::vector<int> readers;
    const auto listeners = this->Listeners();
    for (int number = 1; number <= kFleet; ++number) {
      if (!listeners.contains(number)) {
        readers.push_back(number);
      }
    }
    return readers;
  }

  [[nodiscard]] static std::vector<int> All() {
    std::vector<int> all(kFleet);
    std::iota(all.begin(), all.end(), 1);
    return all;
  }

  [[nodiscard]] int FirstReader() const { return this->Readers().front(); }

  /** Removes the rows of the targets a and b, which stay up. */
  void RemoveNearTargets() {
    this->OnStore([](stand_ins::Store& store) {
      store.Write("servers/a", std::nullopt);
      store.Write("servers/b", std::nullopt);
    });
  }

  /** Whether some entries send their calls to target c alone in time. */
  [[nodiscard]] bool UseOnlyTheFarTarget(
      const std::vector<int>& entries,
      const std::chrono::milliseconds limit = kInForce) {
    return Await(
        [&] {
          return std::all_of(entries.begin(), entries.end(), [&](int number) {
            return this->Call("/look/1", "GET", number).body == "c";
          });
        },
        limit);
  }

  /** Ends the readers, changes the store unseen by all and starts the readers
   * again; only they reach the store. Returns the other entries. */
  std::vector<int> RestartAround(const std::vector<int>& readers,
                                 const std::function<void()>& change) {
    std::vector<int> listeners = All();
    for (const int reader : readers) {
      this->EndEntry(reader);
      std::erase(listeners, reader);
    }
    for (const int listener : listeners) {
      this->TurnAway(listener);
    }
    change();
    for (const int reader : readers) {
      this->StartEntry(reader);
    }
    return listeners;
  }

  [[nodiscard]] int CallsOf(const std::string& path) {
    int calls = 0;
    this->OnStore([&](stand_ins::Store& store) {
      const auto found = store.Calls().find(path);
      calls = found == store.Calls().end() ? 0 : found->second;
    });
    return calls;
  }

  /** Whether every entry but one answers a path with a status in time. */
  [[nodiscard]] bool AllBecome(
      const std::string& path, const int status, const int but = 0,
      const std::chrono::milliseconds limit = kInForce) {
    return Await(
        [&] {
          for (int number = 1; number <= kFleet; ++number) {
            if (number != but &&
                this->Call(path, "GET", number).status != status) {
              return false;
            }
          }
          return true;
        },
        limit);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(entries_two_of_which_read_the_store_for_all, Fleet)

BOOST_AUTO_TEST_CASE(ask_it_no_more_often_when_nothing_changes_than_two_would) {
  constexpr std::chrono::seconds kQuiet{3};
  const int before = CallsOf("/rows-feed");
  std::this_thread::sleep_for(kQuiet);
  constexpr std::int64_t kTables = 3;
  constexpr std::int64_t kReaders = 2;
  constexpr std::int64_t kMost = kReaders * kTables * (kQuiet / 700ms + 1);
  BOOST_TEST(CallsOf("/rows-feed") - before <= kMost);
}

BOOST_AUTO_TEST_CASE(all_know_of_a_change_in_time) {
  WriteDesiredState(2, "/other/");
  BOOST_TEST(AllBecome("/other/", 200));
  BOOST_TEST(AllBecome("/look/1", 404));
}

BOOST_AUTO_TEST_SUITE(when_one_that_reads_ends_without_notice)

BOOST_AUTO_TEST_CASE(the_others_know_of_the_next_change_in_time) {
  const int reader = FirstReader();
  EndEntry(reader);
  WriteDesiredState(2, "/other/");
  BOOST_TEST(AllBecome("/other/", 200, reader));
}

BOOST_AUTO_TEST_CASE(another_one_reads_in_its_place) {
  const int reader = FirstReader();
  EndEntry(reader);
  BOOST_TEST(Await([&] { return this->Listeners().size() == 2; }, 20s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_those_that_read_are_restarted)

/** Calls to targets that had left, and reservations lost there, for as long as
 * an entry ran: readers that had just started told it no deletion from before
 * their start (DRAIN, case review/1). */
BOOST_AUTO_TEST_CASE(the_others_leave_targets_whose_rows_went_meanwhile) {
  const std::vector<int> readers = Readers();
  const std::vector<int> listeners =
      RestartAround(readers, [this] { RemoveNearTargets(); });
  BOOST_TEST(UseOnlyTheFarTarget(readers));
  BOOST_TEST(UseOnlyTheFarTarget(listeners, kTurned));
}

/** The same for the end of an evacuation, which kept a data centre without
 * calls. */
BOOST_AUTO_TEST_CASE(the_others_know_that_an_evacuation_ended_meanwhile) {
  OnStore([](auto& store) { store.Write("op/evacuate/near", "{}"); });
  BOOST_REQUIRE(UseOnlyTheFarTarget(All()));
  const std::vector<int> listeners = RestartAround(Readers(), [this] {
    OnStore([](auto& store) { store.Write("op/evacuate/near", std::nullopt); });
  });
  for (const int listener : listeners) {
    BOOST_TEST(Await(
        [&] { return this->Call("/look/1", "GET", listener).body != "c"; },
        kTurned));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_one_is_restarted_behind_a_clock_that_went_back)

/** Fault: the process aborted, as its peers knew a later run of it than its own
 * (case review/4). */
BOOST_AUTO_TEST_CASE(serves_on) {
  EndEntry(1);
  StartEntry(1, 3s);
  BOOST_TEST(Await([this] { return this->Readiness() == 200; }));
  std::this_thread::sleep_for(3s);
  BOOST_TEST(Call("/look/1").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_store_is_away)

BOOST_AUTO_TEST_CASE(serve_on_and_know_what_changed_meanwhile_once_it_is_back) {
  OnStore([](auto& store) { store.faults.busy = true; });
  std::this_thread::sleep_for(3s);
  BOOST_TEST(AllBecome("/look/1", 200));
  OnStore([](auto& store) { store.faults.busy = false; });
  WriteDesiredState(2, "/other/");
  BOOST_TEST(AllBecome("/other/", 200));
}

BOOST_AUTO_TEST_CASE(know_of_a_change_soon_after_it_was_silent) {
  constexpr std::chrono::milliseconds kInTouch{3'000};
  OnStore([](auto& store) { store.faults.silent = true; });
  std::this_thread::sleep_for(4s);
  OnStore([](auto& store) { store.faults.silent = false; });
  WriteDesiredState(2, "/other/");
  BOOST_TEST(AllBecome("/other/", 200, 0, kInTouch));
}

BOOST_AUTO_TEST_CASE(read_anew_what_its_history_no_longer_tells) {
  OnStore([](auto& store) { store.ForgetHistory(); });
  RemoveNearTargets();
  BOOST_TEST(UseOnlyTheFarTarget(All()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_store_turns_some_away_and_serves_the_others)

/** Calls to targets that had left, since the readers could not reach the store
 * and all others took that for an outage (incident DRAIN). */
BOOST_AUTO_TEST_CASE(those_that_are_served_leave_targets_whose_rows_are_gone) {
  std::vector<int> served = All();
  for (const int reader : Readers()) {
    TurnAway(reader);
    std::erase(served, reader);
  }
  std::this_thread::sleep_for(1s);
  RemoveNearTargets();
  BOOST_TEST(UseOnlyTheFarTarget(served));
}

/** Calls to targets that had left, for 2 s after a listener had turned from one
 * reader to another (incident DRAIN). */
BOOST_AUTO_TEST_CASE(listeners_of_one_reader_hear_of_removals_from_the_other) {
  const int reader = FirstReader();
  std::vector<int> served = All();
  std::erase(served, reader);
  TurnAway(reader);
  std::this_thread::sleep_for(700ms);
  RemoveNearTargets();
  BOOST_TEST(UseOnlyTheFarTarget(served));
}

/** Calls to targets that had left, since another table of the store could not
 * be watched (incident DRAIN). */
BOOST_AUTO_TEST_CASE(removals_hold_though_another_table_is_silent) {
  OnStore([](auto& store) {
    store.faults.silent_table = "fleet";
    store.ForgetWatchers();
  });
  std::this_thread::sleep_for(3s);
  RemoveNearTargets();
  BOOST_TEST(UseOnlyTheFarTarget(All()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
