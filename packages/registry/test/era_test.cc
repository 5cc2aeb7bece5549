#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "over_eras.h"
#include "trefoilbend/inventory/codec.h"
#include "trefoilbend/inventory/version_roles.h"

namespace trefoilbend::registry {

/** CONFIG, EXPOSURE, EVAC: versions of the era before were taken for later ones
 * than those of the new era, or for its own (review/12 to review/14). */
BOOST_FIXTURE_TEST_SUITE(a_store_that_came_back_from_an_older_copy, OverEras)

BOOST_AUTO_TEST_SUITE(and_gives_out_versions_again)

BOOST_AUTO_TEST_CASE(is_heard_though_its_versions_are_lower) {
  Write(Table::kOrders, "config", "config 2");
  Write(Table::kOrders, "config", "config 3");
  ComeBack();
  Write(Table::kOrders, "config", "config 4");
  BOOST_TEST(catalogue.DesiredVersion() == 4U);
}

BOOST_AUTO_TEST_CASE(is_heard_though_its_versions_have_caught_up) {
  Write(Table::kTargets, "c", "v1");
  const Position known = store.Newest();
  store.ComeBack();
  store.Write(Table::kOrders, kEvacuation, "evacuation");
  BOOST_REQUIRE(store.Newest().Version() == known.Version());
  ReadAll();
  BOOST_TEST(IsOut());
}

BOOST_AUTO_TEST_CASE(tells_no_changes_that_go_on_from_the_era_before) {
  const Position known = store.Newest();
  store.ComeBack();
  Write(Table::kOrders, kEvacuation, "evacuation");
  BOOST_TEST((catalogue.PositionOf(Table::kOrders) == known));
  BOOST_TEST(!IsOut());
}

BOOST_AUTO_TEST_CASE(is_not_heard_from_an_era_that_is_over) {
  const auto late = store.StateOf(Table::kOrders);
  ComeBack();
  BOOST_TEST(!catalogue.Take(Table::kOrders, late, now));
}

BOOST_AUTO_TEST_CASE(is_in_force_only_once_all_tables_are_read) {
  Write(Table::kOrders, "config", "config 2");
  store.ComeBack();
  store.Write(Table::kOrders, "config", "config 3");
  store.Write(Table::kTargets, "c", "v1");
  Read(Table::kOrders);
  Read(Table::kTargets);
  BOOST_TEST(catalogue.IsChangingEra());
  BOOST_TEST(!catalogue.HasLatestEra(Table::kFleet));
  BOOST_TEST(catalogue.DesiredVersion() == 2U);
  Write(Table::kTargets, "d", "v1");
  BOOST_TEST((Live() == Names{"a", "b"}));
  Read(Table::kFleet);
  BOOST_TEST(!catalogue.IsChangingEra());
  BOOST_TEST(catalogue.DesiredVersion() == 3U);
  BOOST_TEST((Live() == Names{"a", "b", "c", "d"}));
}

BOOST_AUTO_TEST_CASE(lets_no_revision_fall) {
  Write(Table::kTargets, "c", "v1");
  Write(Table::kTargets, "d", "v1");
  const core::Revision before = catalogue.Revision();
  ComeBack();
  BOOST_TEST((catalogue.Revision() > before));
}

BOOST_AUTO_TEST_CASE(is_told_of_once) {
  Write(Table::kTargets, "c", "v1");
  Write(Table::kTargets, "a", "v1 draining");
  const Position before = store.Newest();
  ComeBack();
  const auto change = catalogue.TakeEraChange();
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change->before == before));
  BOOST_TEST((change->after == store.Newest()));
  BOOST_TEST(change->missing == 1U);
  BOOST_TEST(change->older == 1U);
  BOOST_TEST(!catalogue.TakeEraChange().has_value());
  BOOST_TEST(catalogue.HeldCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_lacks_what_others_write_again)

BOOST_AUTO_TEST_CASE(takes_no_target_away_before_it_had_the_time_to) {
  Write(Table::kTargets, "c", "v1");
  ComeBack();
  BOOST_TEST((Live() == Names{"a", "b", "c"}));
  Pass(kReturnTime - 1ms);
  BOOST_TEST((Live() == Names{"a", "b", "c"}));
  Pass(1ms);
  BOOST_TEST((Live() == Names{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(keeps_a_target_that_is_written_again) {
  Write(Table::kTargets, "c", "v1");
  ComeBack();
  Write(Table::kTargets, "c", "v1");
  Pass(kRewriteTime);
  BOOST_TEST((Live() == Names{"a", "b", "c"}));
  BOOST_TEST(catalogue.HeldCount() == 0U);
}

BOOST_AUTO_TEST_CASE(takes_a_target_away_at_once_that_is_removed_again) {
  Write(Table::kTargets, "c", "v1");
  ComeBack();
  Delete(Table::kTargets, "c");
  BOOST_TEST((Live() == Names{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(keeps_a_data_centre_out) {
  Write(Table::kOrders, kEvacuation, "evacuation");
  ComeBack();
  BOOST_TEST(IsOut());
  Pass(kRewriteTime - 1ms);
  BOOST_TEST(IsOut());
  Pass(1ms);
  BOOST_TEST(!IsOut());
}

BOOST_AUTO_TEST_CASE(never_goes_back_to_an_older_desired_state) {
  Write(Table::kOrders, "config", "config 2");
  ComeBack();
  Pass(kRewriteTime);
  BOOST_TEST(catalogue.DesiredVersion() == 2U);
}

BOOST_AUTO_TEST_CASE(keeps_all_of_it_over_a_whole_read_in_the_same_era) {
  Write(Table::kTargets, "c", "v1");
  Write(Table::kTargets, "a", "v1 draining");
  Write(Table::kOrders, kEvacuation, "evacuation");
  ComeBack();
  ReadAll();
  BOOST_TEST((Live() == Names{"b", "c"}));
  BOOST_TEST(IsOut());
}

BOOST_AUTO_TEST_CASE(keeps_all_of_it_when_it_comes_back_once_more) {
  Write(Table::kTargets, "c", "v1");
  Write(Table::kTargets, "a", "v1 draining");
  Write(Table::kOrders, kEvacuation, "evacuation");
  ComeBack();
  Pass(1s);
  ComeBack();
  BOOST_TEST((Live() == Names{"b", "c"}));
  BOOST_TEST(IsOut());
  Pass(kReturnTime - 1ms);
  BOOST_TEST((Live() == Names{"b", "c"}));
}

BOOST_AUTO_TEST_SUITE_END()

/** DRAIN: targets that had left came back with the copy's rows. */
BOOST_AUTO_TEST_SUITE(and_has_what_was_changed_since)

BOOST_AUTO_TEST_CASE(brings_no_target_back_that_was_draining) {
  Write(Table::kTargets, "a", "v1 draining");
  ComeBack();
  BOOST_TEST((Live() == Names{"b"}));
  Pass(kRewriteTime);
  ReadAll();
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(hears_of_a_target_that_drains_with_a_lower_version) {
  Write(Table::kTargets, "b", "v1");
  Write(Table::kTargets, "a", "v1 cold");
  store.ComeBack();
  store.Write(Table::kTargets, "a", "v1 draining");
  now += 1s;
  ReadAll();
  BOOST_TEST((Live() == Names{"b"}));
  Pass(kRewriteTime);
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(takes_the_stores_word_once_nobody_writes_it_again) {
  Write(Table::kTargets, "a", "v2");
  ComeBack();
  const auto version = [this] {
    return Now().configuration->Find<inventory::Instance>("a")->version;
  };
  BOOST_TEST(version() == VersionName{"v2"});
  Pass(kRewriteTime);
  BOOST_TEST(version() == VersionName{"v1"});
}

BOOST_AUTO_TEST_CASE(brings_a_target_back_that_has_started_again) {
  Write(Table::kTargets, "a", "v1 draining");
  ComeBack();
  Write(Table::kTargets, "a", "v1");
  BOOST_TEST((Live() == Names{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(brings_no_target_back_that_was_removed) {
  Delete(Table::kTargets, "a");
  ComeBack();
  BOOST_TEST((Live() == Names{"b"}));
  Pass(kRewriteTime - 1ms);
  BOOST_TEST((Live() == Names{"b"}));
  Delete(Table::kTargets, "a");
  Pass(kRewriteTime);
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(brings_a_target_back_that_nobody_removes_again) {
  Delete(Table::kTargets, "a");
  ComeBack();
  Pass(kRewriteTime);
  BOOST_TEST((Live() == Names{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(takes_no_data_centre_out_that_was_in_again) {
  Write(Table::kOrders, kEvacuation, "evacuation");
  store.TakeCopy();
  Delete(Table::kOrders, kEvacuation);
  ComeBack();
  BOOST_TEST(!IsOut());
  Delete(Table::kOrders, kEvacuation);
  Pass(kRewriteTime);
  BOOST_TEST(!IsOut());
}

BOOST_AUTO_TEST_CASE(leaves_targets_as_warm_as_they_are) {
  Write(Table::kTargets, "b", "v1 cold");
  store.TakeCopy();
  now += 60s;
  ComeBack();
  const auto update = Now();
  for (const platform::ListedInstance& one : *update.listed) {
    BOOST_TEST((one.cold_until < now));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_a_version_is_moved_to)

BOOST_AUTO_TEST_CASE(knows_the_order_that_is_written_again_for_the_same) {
  Write(Table::kTargets, "c", "v2");
  Order("v2");
  const auto begun = ReleaseNow().begun;
  const auto deadline = ReleaseNow().deadline;
  ComeBack();
  wall += 3s;
  BOOST_TEST((ReleaseNow().begun == begun));
  Write(Table::kTargets, "d", "v1");
  Order("v2");
  BOOST_TEST((ReleaseNow().begun == begun));
  BOOST_TEST((ReleaseNow().deadline == deadline));
  Commit(ReleaseState::kMoving, 1);
  BOOST_TEST((ReleaseNow().begun == begun));
}

BOOST_AUTO_TEST_CASE(goes_on_from_the_step_that_it_had_reached) {
  Order("v2");
  Commit(ReleaseState::kMoving, 1);
  store.TakeCopy();
  Commit(ReleaseState::kMoving, 2);
  ComeBack();
  BOOST_TEST(ReleaseNow().step == 2U);
  BOOST_REQUIRE(Now().lost_releases.size() == 1U);
  Commit(ReleaseState::kMoving, 2);
  BOOST_TEST(Now().lost_releases.empty());
  BOOST_TEST(ReleaseNow().step == 2U);
}

BOOST_AUTO_TEST_CASE(leaves_a_version_taken_back_that_was) {
  Order("v2");
  Commit(ReleaseState::kMoving, 1);
  store.TakeCopy();
  Commit(ReleaseState::kTakenBack, 1);
  ComeBack();
  BOOST_TEST((ReleaseNow().state == ReleaseState::kTakenBack));
  Order("v2");
  BOOST_TEST((ReleaseNow().state == ReleaseState::kTakenBack));
  Commit(ReleaseState::kTakenBack, 1);
  BOOST_TEST(Now().lost_releases.empty());
  Pass(kRewriteTime);
  Order("v2");
  BOOST_TEST((ReleaseNow().state == ReleaseState::kMoving));
}

/** The old version's targets have stopped. */
BOOST_AUTO_TEST_CASE(leaves_a_version_completed_that_was) {
  Write(Table::kTargets, "c", "v2");
  Order("v2");
  Commit(ReleaseState::kDone, 1);
  ComeBack();
  BOOST_TEST((ReleaseNow().state == ReleaseState::kDone));
  BOOST_TEST((Now().configuration->Find<inventory::Service>("stock")->version ==
              VersionName{"v2"}));
  Order("v2");
  BOOST_TEST((ReleaseNow().state == ReleaseState::kDone));
  Commit(ReleaseState::kDone, 1);
  BOOST_TEST(Now().lost_releases.empty());
}

BOOST_AUTO_TEST_CASE(hears_of_a_further_order_with_a_lower_version) {
  Order("v2");
  Commit(ReleaseState::kTakenBack, 1);
  const auto begun = ReleaseNow().begun;
  ComeBack();
  Order("v3");
  BOOST_TEST(ReleaseNow().version == VersionName{"v3"});
  BOOST_TEST((ReleaseNow().begun > begun));
}

BOOST_AUTO_TEST_CASE(writes_each_release_again_only_once) {
  Order("v2");
  Commit(ReleaseState::kDone, 1);
  store.TakeCopy();
  ComeBack();
  BOOST_TEST(Now().lost_releases.size() == 1U);
  Commit(ReleaseState::kDone, 1);
  BOOST_TEST(Now().lost_releases.empty());
}

BOOST_AUTO_TEST_CASE(forms_no_condition_by_versions_of_the_era_before) {
  Order("v2");
  Commit(ReleaseState::kMoving, 1);
  ComeBack();
  const auto move = catalogue.MoveRelease(ReleaseNow());
  for (const platform::Condition& condition : move.conditions) {
    BOOST_TEST((condition.position == platform::kAbsent));
  }
}

/** EXPOSURE: a bad version's targets are written again before its order. */
BOOST_AUTO_TEST_CASE(has_new_versions_wait_until_orders_are_written_again) {
  ComeBack();
  Pass(1s);
  Write(Table::kTargets, "c", "v2");
  Pass(1s);
  BOOST_TEST((Live() == Names{"a", "b"}));
  Order("v2");
  BOOST_TEST(ReleaseNow().share == 0U);
  BOOST_TEST((Live() == Names{"a", "b", "c"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_an_entry_knew_it_from_a_peer_alone)

/** The peer's copy gave way to a store that had just lost an evacuation. */
BOOST_AUTO_TEST_CASE(leaves_the_peers_word_in_force_for_a_while) {
  Write(Table::kOrders, kEvacuation, "evacuation");
  const auto told = Now().configuration;
  store.ComeBack();
  Catalogue started{codec};
  BOOST_REQUIRE(started.Restore(told));
  for (const Table table : kAllTables) {
    BOOST_REQUIRE(started.Take(table, store.StateOf(table), now));
  }
  const auto is_out = [&] {
    return started.Build(wall)->configuration->IsOut(
        core::DataCentreName{"xela"});
  };
  BOOST_TEST(is_out());
  BOOST_TEST(!started.SettleHeld(now));
  started.NoteConfirmed(Table::kTargets, now + kReturnTime);
  BOOST_TEST(started.SettleHeld(now + kReturnTime));
  BOOST_TEST(!is_out());
}

BOOST_AUTO_TEST_CASE(takes_no_peers_word_of_an_era_that_is_over) {
  Write(Table::kOrders, kEvacuation, "evacuation");
  const auto told = Now().configuration;
  ComeBack();
  BOOST_TEST(!catalogue.Restore(told));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::registry
