#ifndef TREFOILBEND_REGISTRY_TEST_OVER_ERAS_H_
#define TREFOILBEND_REGISTRY_TEST_OVER_ERAS_H_

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "plain_codec.h"
#include "trefoilbend/registry/catalogue.h"

namespace trefoilbend::registry {

using namespace std::chrono_literals;
using core::VersionName;
using inventory::ReleaseState;
using platform::Era;
using platform::Position;
using platform::Row;
using platform::RowVersion;

inline const std::string kOrder = "orders/release/stock";
inline const std::string kRelease = "fleet/release/stock";
inline const std::string kEvacuation = "orders/evacuate/xela";

using Names = std::vector<std::string>;

/** @brief A store that is copied and comes back from the copy. */
struct CopiedStore {
  using Rows = std::map<Table, std::map<std::string, Row>>;

  Row Write(const Table table, const std::string& key,
            const std::string& value) {
    this->version = this->version.Next();
    Row row{key, value, {this->era, this->version}};
    this->rows[table].insert_or_assign(key, row);
    return row;
  }

  void Delete(const Table table, const std::string& key) {
    this->version = this->version.Next();
    this->rows[table].erase(key);
  }

  void TakeCopy() {
    this->copy = this->rows;
    this->copy_version = this->version;
  }

  void ComeBack() {
    this->era = this->era.Next();
    this->version = this->copy_version;
    this->rows = this->copy;
    for (auto& [table, by_key] : this->rows) {
      for (auto& [key, row] : by_key) {
        row.position = {this->era, row.position.Version()};
      }
    }
  }

  [[nodiscard]] Position Newest() const { return {this->era, this->version}; }

  [[nodiscard]] platform::TableState StateOf(const Table table) {
    platform::TableState state{.rows = {}, .position = this->Newest()};
    for (const auto& [key, row] : this->rows[table]) {
      state.rows.push_back(row);
    }
    return state;
  }

  Era era{1};
  RowVersion version;
  Rows rows;
  Rows copy;
  RowVersion copy_version;
};

/** @brief The store and an entry that follows it, with the targets a and b of
 * v1. */
struct OverEras {
  OverEras() {
    this->store.Write(Table::kOrders, "config", "config 1");
    this->store.Write(Table::kTargets, "a", "v1");
    this->store.Write(Table::kTargets, "b", "v1");
    this->ReadAll();
    this->store.TakeCopy();
  }

  /** Writes a row, of which the entry hears. */
  void Write(const Table table, const std::string& key,
             const std::string& value) {
    this->Tell(table,
               {.row = this->store.Write(table, key, value), .deleted = false});
  }

  void Delete(const Table table, const std::string& key) {
    this->store.Delete(table, key);
    this->Tell(table,
               {.row = {key, "", this->store.Newest()}, .deleted = true});
  }

  void Tell(const Table table, platform::RowChange change) {
    this->catalogue.Take(
        table,
        platform::TableChanges{.changes = {std::move(change)},
                               .position = this->store.Newest()},
        this->now);
  }

  void Read(const Table table) {
    BOOST_REQUIRE(
        this->catalogue.Take(table, this->store.StateOf(table), this->now));
  }

  void ReadAll() {
    for (const Table table : kAllTables) {
      this->Read(table);
      this->catalogue.NoteConfirmed(table, this->now);
    }
  }

  /** The store comes back from its copy, and the entry reads it. */
  void ComeBack() {
    this->store.ComeBack();
    this->now += 1s;
    this->ReadAll();
  }

  /** The tables are confirmed after a time. */
  void Pass(const core::Duration time) {
    this->now += time;
    for (const Table table : kAllTables) {
      this->catalogue.NoteConfirmed(table, this->now);
    }
    (void)this->catalogue.SettleHeld(this->now);
    (void)this->catalogue.DropLapsed();
  }

  [[nodiscard]] configuration::Update Now() {
    return this->Of(this->catalogue);
  }

  [[nodiscard]] configuration::Update Of(Catalogue& of) const {
    auto update = of.Build(this->wall);
    BOOST_REQUIRE(update);
    return *update;
  }

  /** Targets that take calls. */
  [[nodiscard]] Names Live() { return this->Live(this->catalogue); }

  [[nodiscard]] Names Live(Catalogue& of) const {
    Names live;
    const auto update = this->Of(of);
    for (const platform::ListedInstance& one : *update.listed) {
      live.push_back(one.name.Text());
    }
    return live;
  }

  [[nodiscard]] bool IsOut() {
    return this->Now().configuration->IsOut(core::DataCentreName{"xela"});
  }

  [[nodiscard]] inventory::Release ReleaseNow() {
    const auto configuration = this->Now().configuration;
    const auto* release = configuration->Find<inventory::Release>("stock");
    BOOST_REQUIRE(release != nullptr);
    return *release;
  }

  void Order(const std::string& version) {
    this->Write(Table::kOrders, kOrder, "release " + version);
  }

  /** The lease's holder writes a state of the release. */
  void Commit(const ReleaseState state, const std::uint32_t step) {
    inventory::Release after = this->ReleaseNow();
    after.state = state;
    after.step = step;
    const auto move = this->catalogue.MoveRelease(after);
    for (const platform::Condition& condition : move.conditions) {
      BOOST_TEST((condition.position == this->InStore(condition.key)));
    }
    this->Write(Table::kFleet, kRelease, *move.writes.front().value);
  }

  [[nodiscard]] Position InStore(const std::string& key) {
    const Table table = key == kOrder ? Table::kOrders : Table::kFleet;
    const auto row = this->store.rows[table].find(key);
    return row == this->store.rows[table].end() ? platform::kAbsent
                                                : row->second.position;
  }

  CopiedStore store;
  PlainCodec codec;
  Catalogue catalogue{codec};
  core::TimePoint now{100s};
  std::chrono::sys_seconds wall{1'000s};
};

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_TEST_OVER_ERAS_H_
