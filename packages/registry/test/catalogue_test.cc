#include "trefoilbend/registry/catalogue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "plain_codec.h"
#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::registry {

using namespace std::chrono_literals;
using core::InstanceName;
using core::ServiceName;
using core::VersionName;
using inventory::ReleaseState;
using platform::Position;

namespace {

struct Fixture {
  Fixture() {
    this->Write(Table::kOrders, "config", "config 1");
    this->catalogue.NoteConfirmed(Table::kTargets, this->now);
    this->Write(Table::kTargets, "a", "v1");
    this->Write(Table::kTargets, "b", "v1");
  }

  /** The targets' table is known again after a time without a word of it. */
  void ConfirmAfter(const core::Duration silence) {
    this->now += silence;
    this->catalogue.NoteConfirmed(Table::kTargets, this->now);
  }

  /** The targets' table is confirmed as often as usual for a while. */
  void ConfirmFor(const core::Duration time) {
    const core::TimePoint end = this->now + time;
    while (this->now < end) {
      this->ConfirmAfter(std::min<core::Duration>(700ms, end - this->now));
    }
  }

  Position Write(const Table table, const std::string& key,
                 const std::string& value) {
    this->version = this->version.Next();
    this->catalogue.Take(
        table,
        platform::TableChanges{
            .changes = {{.row = {key, value, this->version}, .deleted = false}},
            .position = this->version},
        this->now);
    return this->version;
  }

  void Delete(const Table table, const std::string& key) {
    this->version = this->version.Next();
    this->catalogue.Take(
        table,
        platform::TableChanges{
            .changes = {{.row = {key, "", this->version}, .deleted = true}},
            .position = this->version},
        this->now);
  }

  void Order(const std::string& version) {
    this->order = this->Write(Table::kOrders, "orders/release/stock",
                              "release " + version);
  }

  void Commit(const ReleaseState state, const std::uint32_t share) {
    inventory::Release release = *this->ReleaseNow();
    release.state = state;
    release.share = share;
    this->Write(Table::kFleet, "fleet/release/stock",
                inventory::Encode(inventory::Object{release}));
  }

  [[nodiscard]] configuration::Update Now() {
    auto update = this->catalogue.Build(this->wall);
    BOOST_REQUIRE(update);
    return *update;
  }

  [[nodiscard]] std::optional<inventory::Release> ReleaseNow() {
    const auto update = this->Now();
    const auto* release =
        update.configuration->Find<inventory::Release>("stock");
    return release == nullptr ? std::nullopt : std::optional{*release};
  }

  /** Targets that take calls and their versions, such as "a v1". */
  [[nodiscard]] std::vector<std::string> Live() {
    const auto update = this->Now();
    std::vector<std::string> live;
    for (const platform::ListedInstance& one : *update.listed) {
      const auto* target =
          update.configuration->Find<inventory::Instance>(one.name.Text());
      if (one.state == platform::InstanceState::kLive &&
          target->role == inventory::Role::kTarget) {
        live.push_back(one.name.Text());
      }
    }
    return live;
  }

  [[nodiscard]] VersionName VersionOf(const std::string& target) {
    return this->Now()
        .configuration->Find<inventory::Instance>(target)
        ->version;
  }

  [[nodiscard]] VersionName StableVersion() {
    return this->Now()
        .configuration->Find<inventory::Service>("stock")
        ->version;
  }

  PlainCodec codec;
  Catalogue catalogue{codec};
  Position version;
  Position order;
  core::TimePoint now{100s};
  std::chrono::sys_seconds wall{1'000s};
};

using Names = std::vector<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_catalogue_of_a_store, Fixture)

BOOST_AUTO_TEST_SUITE(in_quiet_times)

BOOST_AUTO_TEST_CASE(has_nothing_to_tell_before_the_first_desired_state) {
  Catalogue empty{codec};
  BOOST_TEST(!empty.Build(wall).has_value());
}

BOOST_AUTO_TEST_CASE(offers_the_targets_that_are_ready) {
  BOOST_TEST((Live() == Names{"a", "b"}));
  Write(Table::kTargets, "b", "v1 draining");
  BOOST_TEST((Live() == Names{"a"}));
}

BOOST_AUTO_TEST_CASE(drops_a_target_whose_entry_is_removed) {
  Delete(Table::kTargets, "a");
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(knows_until_when_a_target_is_cold) {
  Write(Table::kTargets, "b", "v1 cold");
  const auto update = Now();
  const auto cold = std::find_if(
      update.listed->begin(), update.listed->end(),
      [](const auto& one) { return one.name == InstanceName{"b"}; });
  BOOST_TEST((cold->cold_until == now + 3s));
}

BOOST_AUTO_TEST_CASE(passes_over_an_entry_that_cannot_be_read) {
  Write(Table::kTargets, "c", "?");
  BOOST_TEST((Live() == Names{"a", "b"}));
  BOOST_TEST((catalogue.TakeUnreadable() == Names{"c"}));
}

BOOST_AUTO_TEST_CASE(takes_a_data_centre_out_until_its_order_is_removed) {
  Write(Table::kOrders, "orders/evacuate/xela", "evacuation");
  BOOST_TEST(Now().configuration->IsOut(core::DataCentreName{"xela"}));
  Delete(Table::kOrders, "orders/evacuate/xela");
  BOOST_TEST(!Now().configuration->IsOut(core::DataCentreName{"xela"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_reads_are_stale)

BOOST_AUTO_TEST_CASE(never_goes_back) {
  Write(Table::kOrders, "config", "config 2");
  BOOST_TEST(!catalogue.Take(
      Table::kOrders,
      platform::TableState{
          .rows = {{"config", "config 1", Position::WithoutEra(1)}},
          .position = Position::WithoutEra(1)},
      now));
  BOOST_TEST(catalogue.DesiredVersion() == 2U);
}

BOOST_AUTO_TEST_CASE(keeps_the_newer_state_of_two_under_one_key) {
  Write(Table::kOrders, "config", "config 5");
  Write(Table::kOrders, "config", "config 4");
  BOOST_TEST(catalogue.DesiredVersion() == 5U);
}

BOOST_AUTO_TEST_CASE(takes_out_what_a_newer_whole_read_lacks) {
  BOOST_TEST(catalogue.Take(
      Table::kTargets,
      platform::TableState{.rows = {{"a", "v1", Position::WithoutEra(2)}},
                           .position = Position::WithoutEra(50)},
      now));
  BOOST_TEST((Live() == Names{"a"}));
}

BOOST_AUTO_TEST_SUITE_END()

/** Calls to targets that had left: their rows were read to be gone, and taken
 * for lapsed since the store counted as away (incident DRAIN). */
BOOST_AUTO_TEST_SUITE(whose_targets_table_is_confirmed_all_the_while)

BOOST_AUTO_TEST_CASE(drops_a_target_at_once_after_the_longest_usual_silence) {
  ConfirmAfter(2s);
  Delete(Table::kTargets, "a");
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(drops_a_target_though_another_table_was_silent_for_long) {
  catalogue.NoteConfirmed(Table::kFleet, now);
  ConfirmFor(20s);
  catalogue.NoteConfirmed(Table::kFleet, now);
  Delete(Table::kTargets, "a");
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(drops_a_target_at_once_after_answers_that_were_stale) {
  for (int answer = 0; answer < 8; ++answer) {
    now += 500ms;
    catalogue.NoteAnswered(Table::kTargets, now);
  }
  ConfirmAfter(500ms);
  Delete(Table::kTargets, "a");
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(passes_over_an_older_word_than_the_one_it_has) {
  catalogue.NoteConfirmed(Table::kTargets, now - 20s);
  ConfirmAfter(700ms);
  Delete(Table::kTargets, "a");
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_an_outage)

BOOST_AUTO_TEST_CASE(waits_for_targets_whose_entries_lapsed_to_return) {
  ConfirmAfter(8s);
  Delete(Table::kTargets, "a");
  BOOST_TEST((Live() == Names{"a", "b"}));
  ConfirmFor(1s);
  Write(Table::kTargets, "a", "v1");
  ConfirmFor(5s);
  BOOST_TEST(!catalogue.DropLapsed());
  BOOST_TEST((Live() == Names{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(takes_those_for_gone_that_have_not_returned_in_time) {
  ConfirmAfter(8s);
  const core::TimePoint returned = now;
  Delete(Table::kTargets, "a");
  ConfirmAfter(1s);
  BOOST_TEST(!catalogue.DropLapsed());
  catalogue.NoteConfirmed(Table::kTargets, returned + kReturnTime);
  BOOST_TEST(catalogue.DropLapsed());
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(counts_the_time_of_return_from_the_return_alone) {
  ConfirmAfter(8s);
  const core::TimePoint returned = now;
  ConfirmAfter(1s);
  ConfirmAfter(900ms);
  Delete(Table::kTargets, "a");
  BOOST_TEST((Live() == Names{"a", "b"}));
  catalogue.NoteConfirmed(Table::kTargets, returned + kReturnTime);
  BOOST_TEST(catalogue.DropLapsed());
}

BOOST_AUTO_TEST_CASE(drops_one_that_leaves_after_that_time_at_once) {
  ConfirmAfter(8s);
  ConfirmFor(kReturnTime);
  Delete(Table::kTargets, "a");
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(drops_one_that_was_draining_at_once) {
  Write(Table::kTargets, "a", "v1 draining");
  ConfirmAfter(8s);
  Delete(Table::kTargets, "a");
  BOOST_TEST((Live() == Names{"b"}));
  BOOST_TEST(catalogue.TakeKept().empty());
}

BOOST_AUTO_TEST_CASE(drops_nothing_while_the_store_is_away_again) {
  ConfirmAfter(8s);
  Delete(Table::kTargets, "a");
  now += 60s;
  BOOST_TEST(!catalogue.DropLapsed());
  ConfirmAfter(0s);
  BOOST_TEST(!catalogue.DropLapsed());
  BOOST_TEST((Live() == Names{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(begins_to_wait_anew_if_it_is_soon_away_again) {
  ConfirmAfter(8s);
  Delete(Table::kTargets, "a");
  ConfirmAfter(kRelapse);
  ConfirmAfter(1s);
  BOOST_TEST(!catalogue.DropLapsed());
  ConfirmAfter(1s);
  BOOST_TEST(catalogue.DropLapsed());
}

BOOST_AUTO_TEST_CASE(tells_once_which_targets_it_keeps) {
  ConfirmAfter(8s);
  Delete(Table::kTargets, "a");
  const std::vector<KeptTarget> kept = catalogue.TakeKept();
  BOOST_REQUIRE(kept.size() == 1U);
  BOOST_TEST(kept.front().key == "a");
  BOOST_TEST((kept.front().left == kReturnTime));
  BOOST_TEST(catalogue.TakeKept().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_the_store)

BOOST_AUTO_TEST_CASE(takes_a_peers_configuration_if_it_is_newer) {
  Catalogue started{codec};
  BOOST_TEST(started.Restore(Now().configuration));
  const auto update = started.Build(wall);
  BOOST_REQUIRE(update);
  BOOST_TEST(update->configuration->Revision() ==
             Now().configuration->Revision());
  BOOST_TEST(!started.Restore(Now().configuration));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_was_cut_off_and_heard_from_a_peer)

BOOST_AUTO_TEST_CASE(uses_the_store_again_once_its_tables_hold_as_much) {
  Fixture cut;
  Write(Table::kTargets, "c", "v1");
  Delete(Table::kTargets, "c");
  Write(Table::kOrders, "config", "config 9");
  BOOST_REQUIRE(cut.catalogue.Restore(Now().configuration));
  BOOST_TEST(cut.catalogue.Take(
      Table::kOrders,
      platform::TableState{.rows = {{"config", "config 9", version}},
                           .position = version},
      now));
  BOOST_TEST(cut.Now().configuration->Sources() ==
             Now().configuration->Sources());
  const Position newest = version.Next();
  for (const Table table : {Table::kTargets, Table::kFleet}) {
    cut.catalogue.Take(
        table, platform::TableChanges{.changes = {}, .position = newest}, now);
  }
  cut.version = newest;
  cut.Write(Table::kOrders, "orders/evacuate/xela", "evacuation");
  BOOST_TEST(cut.Now().configuration->IsOut(core::DataCentreName{"xela"}));
}

/** DRAIN: a target that had left came back with a peer's configuration that was
 * newer in the operators' table and older in the targets'. */
BOOST_AUTO_TEST_CASE(does_not_take_what_is_older_in_one_table) {
  Fixture peer;
  Delete(Table::kTargets, "a");
  peer.version = version;
  peer.Write(Table::kOrders, "config", "config 9");
  BOOST_TEST(!catalogue.Restore(peer.Now().configuration));
  BOOST_TEST((Live() == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(does_not_take_what_its_tables_hold_already) {
  BOOST_TEST(!catalogue.Restore(Now().configuration));
}

BOOST_AUTO_TEST_CASE(counts_changes_as_its_peers_do_when_it_has_caught_up) {
  Fixture cut;
  cut.catalogue.CatchUp(core::Revision{1'000});
  BOOST_TEST(cut.catalogue.Revision() == core::Revision{1'000});
  cut.Write(Table::kOrders, "config", "config 2");
  BOOST_TEST((cut.catalogue.Revision() > core::Revision{1'000}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_release)

BOOST_AUTO_TEST_CASE(gives_the_new_version_nothing_before_its_first_step) {
  Order("v2");
  Write(Table::kTargets, "c", "v2");
  BOOST_TEST(VersionOf("c") == VersionName{"v2"});
  BOOST_TEST(StableVersion() == VersionName{"v1"});
  BOOST_TEST(ReleaseNow()->share == 0U);
  BOOST_TEST((ReleaseNow()->deadline == wall + 15s));
}

BOOST_AUTO_TEST_CASE(follows_the_steps_that_are_committed) {
  Order("v2");
  Commit(ReleaseState::kMoving, 60);
  BOOST_TEST(ReleaseNow()->share == 60U);
  BOOST_TEST((ReleaseNow()->state == ReleaseState::kMoving));
}

BOOST_AUTO_TEST_CASE(makes_the_new_version_the_stable_one_when_it_is_done) {
  Order("v2");
  Write(Table::kTargets, "c", "v2");
  Commit(ReleaseState::kDone, 1'000);
  BOOST_TEST(StableVersion() == VersionName{"v2"});
  BOOST_TEST(VersionOf("a") != VersionName{"v2"});
}

BOOST_AUTO_TEST_CASE(keeps_to_the_old_version_when_it_is_taken_back) {
  Order("v2");
  Write(Table::kTargets, "c", "v2");
  Commit(ReleaseState::kTakenBack, 0);
  BOOST_TEST(StableVersion() == VersionName{"v1"});
  BOOST_TEST(VersionOf("c") == VersionName{"v2"});
}

BOOST_AUTO_TEST_CASE(begins_anew_when_the_order_is_renewed) {
  Order("v2");
  Commit(ReleaseState::kTakenBack, 0);
  Order("v3");
  BOOST_TEST(ReleaseNow()->version == VersionName{"v3"});
  BOOST_TEST((ReleaseNow()->state == ReleaseState::kMoving));
  BOOST_TEST(ReleaseNow()->share == 0U);
}

BOOST_AUTO_TEST_CASE(guards_each_step_by_the_order_and_the_step_before) {
  Order("v2");
  Commit(ReleaseState::kMoving, 60);
  const Position step = version;
  inventory::Release after = *ReleaseNow();
  after.share = 200;
  const platform::Transaction move = catalogue.MoveRelease(after);
  BOOST_REQUIRE(move.conditions.size() == 2U);
  BOOST_TEST(move.conditions[0].position == order);
  BOOST_TEST(move.conditions[1].position == step);
  BOOST_REQUIRE(move.writes.size() == 2U);
  BOOST_TEST(move.writes[1].key == "status/stock");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::registry
