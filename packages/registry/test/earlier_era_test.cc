#include <boost/test/unit_test.hpp>

#include "over_eras.h"

namespace trefoilbend::registry {

namespace {

/** An entry that starts after the return and finds the copy in the store, and a
 * peer that knows the tables before. */
struct StartsAfterwards : OverEras {
  /** Keeps the tables as they are, with the target b if it is deleted. */
  void Remember() {
    for (const Table table : kAllTables) {
      platform::TableChanges& tables = this->told.emplace_back();
      tables.position = this->store.Newest();
      for (const Row& row : this->store.StateOf(table).rows) {
        tables.changes.push_back({.row = row, .deleted = false});
      }
      if (table == Table::kTargets && !this->store.rows[table].contains("b")) {
        tables.changes.push_back(
            {.row = {"b", "", this->store.Newest()}, .deleted = true});
      }
    }
  }

  /** The entry reads the store, and then hears from its peer. */
  void ReadAndHear() {
    for (const Table table : kAllTables) {
      BOOST_REQUIRE(
          this->started.Take(table, this->store.StateOf(table), this->now));
    }
    this->took = this->started.TakeEarlier(
        this->told, this->now + kRewriteTime - 1s, this->now);
  }

  /** The entry's tables are confirmed after a time. */
  void PassThere(const core::Duration time) {
    this->now += time;
    for (const Table table : kAllTables) {
      this->started.NoteConfirmed(table, this->now);
    }
    (void)this->started.SettleHeld(this->now);
  }

  void WriteThere(const Table table, const std::string& key,
                  const std::string& value) {
    const Row row = this->store.Write(table, key, value);
    this->started.Take(
        table,
        platform::TableChanges{.changes = {{.row = row, .deleted = false}},
                               .position = this->store.Newest()},
        this->now);
  }

  [[nodiscard]] bool IsOutThere() {
    return this->Of(this->started)
        .configuration->IsOut(core::DataCentreName{"xela"});
  }

  Catalogue started{this->codec};
  std::vector<platform::TableChanges> told;
  bool took = false;
};

}  // namespace

/** CONFIG: an entry that started after the return and before operators had
 * written again served an older desired state than its peers. */
BOOST_FIXTURE_TEST_SUITE(an_entry_that_starts_after_a_return, StartsAfterwards)

BOOST_AUTO_TEST_SUITE(and_hears_from_a_peer_what_was_in_force)

BOOST_AUTO_TEST_CASE(does_not_go_back_to_an_older_desired_state) {
  Write(Table::kOrders, "config", "config 2");
  Remember();
  ComeBack();
  ReadAndHear();
  BOOST_TEST(took);
  BOOST_TEST(started.DesiredVersion() == 2U);
  PassThere(kRewriteTime);
  BOOST_TEST(started.DesiredVersion() == 2U);
}

BOOST_AUTO_TEST_CASE(keeps_a_data_centre_out_for_as_long_as_the_peer) {
  Write(Table::kOrders, kEvacuation, "evacuation");
  Remember();
  ComeBack();
  ReadAndHear();
  BOOST_TEST(IsOutThere());
  PassThere(kRewriteTime - 1s - 1ms);
  BOOST_TEST(IsOutThere());
  PassThere(1ms);
  BOOST_TEST(!IsOutThere());
}

BOOST_AUTO_TEST_CASE(has_the_targets_of_the_peer) {
  Write(Table::kTargets, "c", "v1");
  Delete(Table::kTargets, "b");
  Remember();
  ComeBack();
  ReadAndHear();
  BOOST_TEST((Live(started) == Live()));
  BOOST_TEST((Live(started) == Names{"a", "c"}));
}

BOOST_AUTO_TEST_CASE(takes_what_is_written_since) {
  Write(Table::kOrders, "config", "config 2");
  Write(Table::kTargets, "c", "v1");
  Remember();
  ComeBack();
  WriteThere(Table::kTargets, "d", "v1");
  ReadAndHear();
  WriteThere(Table::kOrders, "config", "config 3");
  BOOST_TEST(started.DesiredVersion() == 3U);
  BOOST_TEST((Live(started) == Names{"a", "b", "c", "d"}));
}

BOOST_AUTO_TEST_CASE(forms_conditions_by_what_the_store_has) {
  Write(Table::kTargets, "c", "v1");
  Remember();
  ComeBack();
  ReadAndHear();
  BOOST_TEST(started.HeldCount() == 1U);
  Write(Table::kTargets, "c", "v1");
  WriteThere(Table::kTargets, "c", "v1");
  BOOST_TEST(started.HeldCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_hears_of_nothing_that_the_store_lacks)

BOOST_AUTO_TEST_CASE(holds_nothing) {
  Remember();
  ComeBack();
  ReadAndHear();
  BOOST_TEST(!took);
  BOOST_TEST(started.HeldCount() == 0U);
}

BOOST_AUTO_TEST_CASE(holds_nothing_of_the_era_that_it_knows) {
  Write(Table::kTargets, "c", "v1");
  Remember();
  ComeBack();
  ReadAndHear();
  Catalogue another{codec};
  for (const Table table : kAllTables) {
    BOOST_REQUIRE(another.Take(table, store.StateOf(table), now));
    told.at(static_cast<std::size_t>(table)).position = store.Newest();
  }
  BOOST_TEST(!another.TakeEarlier(told, now + kRewriteTime, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::registry
