#include <algorithm>
#include <set>
#include <utility>

#include "trefoilbend/registry/catalogue.h"

namespace trefoilbend::registry {

namespace {

bool IsStep(const Table table, const std::string& key) {
  return table == Table::kFleet && key.starts_with(kReleaseRows);
}

}  // namespace

bool Catalogue::IsTakenAtOnce(const Table table,
                              const platform::Row& row) const {
  if (table != Table::kTargets) {
    return IsStep(table, row.key);
  }
  const auto known = this->targets.find(row.key);
  const auto record = this->codec.DecodeTarget(row);
  return known != this->targets.end() && record && record->draining &&
         record->incarnation == known->second.record.incarnation;
}

void Catalogue::ReplaceOverEras(const Table table,
                                const platform::TableState& state,
                                const core::TimePoint now) {
  TableKnowledge& known = this->Of(table);
  std::set<std::string> present;
  known.position = state.position;
  known.newest_row = {};
  for (const platform::Row& row : state.rows) {
    present.insert(row.key);
    if (!known.memory.MayBeOlder(row) || this->IsTakenAtOnce(table, row)) {
      this->Apply(table, row, now);
      continue;
    }
    known.memory.Hold(row.key, {.in_store = row, .until = now + kRewriteTime});
    known.newest_row = core::LaterOf(known.newest_row, row.position);
    ++this->era_change->older;
  }
  for (const std::string& key : known.memory.Keys()) {
    if (present.contains(key)) {
      continue;
    }
    if (IsStep(table, key) || !known.memory.Knows(key)) {
      this->Withdraw(table, key, now);
      continue;
    }
    known.memory.Hold(key, {.in_store = std::nullopt,
                            .until = now + HandlersOf(table).keep_missing});
    ++this->era_change->missing;
  }
}

/** Tables of an era that is over by now are of no use. */
void Catalogue::SetAside(const Table table, const platform::TableState& state) {
  for (TableKnowledge& known : this->tables) {
    if (known.next && known.next->position.IsOfEarlierEraThan(state.position)) {
      known.next.reset();
    }
  }
  this->Of(table).next = state;
}

void Catalogue::ChangeSetAside(const Table table,
                               const platform::TableChanges& changes) {
  platform::TableState& state = *this->Of(table).next;
  for (const platform::RowChange& change : changes.changes) {
    if (!state.position.Precedes(change.row.position)) {
      continue;
    }
    std::erase_if(state.rows, [&](const platform::Row& row) {
      return row.key == change.row.key;
    });
    if (!change.deleted) {
      state.rows.push_back(change.row);
    }
  }
  state.position = core::LaterOf(state.position, changes.position);
}

bool Catalogue::IsChangingEra() const noexcept {
  return std::any_of(
      this->tables.begin(), this->tables.end(),
      [](const TableKnowledge& known) { return known.next.has_value(); });
}

bool Catalogue::HasLatestEra(const Table table) const noexcept {
  return std::none_of(kAllTables.begin(), kAllTables.end(),
                      [&](const Table other) {
                        return this->PositionOf(table).IsOfEarlierEraThan(
                            this->PositionOf(other));
                      });
}

void Catalogue::TryBeginEra(const core::TimePoint now) {
  const bool all = std::all_of(
      this->tables.begin(), this->tables.end(),
      [](const TableKnowledge& known) { return known.next.has_value(); });
  if (!all) {
    return;
  }
  const core::Revision before = this->Revision();
  this->era_change = EraChange{};
  for (const TableKnowledge& known : this->tables) {
    this->era_change->before =
        core::LaterOf(this->era_change->before, known.position);
    this->era_change->after =
        core::LaterOf(this->era_change->after, known.next->position);
  }
  this->era = this->era_change->after.Era();
  this->orders_rewritten = now + kRewriteTime;
  this->releases.BeginEra();
  for (const Table table : kAllTables) {
    const auto state = std::exchange(this->Of(table).next, std::nullopt);
    this->ReplaceOverEras(table, *state, now);
  }
  this->CatchUp(before.Next());
}

bool Catalogue::TakeEarlier(const std::vector<platform::TableChanges>& tables,
                            const core::TimePoint until,
                            const core::TimePoint now) {
  const bool fits =
      tables.size() == kTables && !this->IsChangingEra() &&
      std::all_of(kAllTables.begin(), kAllTables.end(), [&](const Table table) {
        return tables[static_cast<std::size_t>(table)]
            .position.IsOfEarlierEraThan(this->PositionOf(table));
      });
  if (!fits) {
    return false;
  }
  bool any = false;
  for (const Table table : kAllTables) {
    for (const platform::RowChange& row :
         tables[static_cast<std::size_t>(table)].changes) {
      any = this->HoldEarlier(table, row, until, now) || any;
    }
  }
  if (any) {
    this->orders_rewritten = until;
    this->releases.BeginEra();
  }
  return any;
}

bool Catalogue::HoldEarlier(const Table table,
                            const platform::RowChange& earlier,
                            const core::TimePoint until,
                            const core::TimePoint now) {
  TableKnowledge& known = this->Of(table);
  const std::string& key = earlier.row.key;
  if (known.memory.FindHeld(key) != nullptr || IsStep(table, key)) {
    return false;
  }
  HeldRow held{.in_store = std::nullopt, .until = until};
  if (const platform::Row* row = known.memory.Find(key)) {
    const bool newer = earlier.row.position.HasLowerNumberThan(row->position) ||
                       (!earlier.deleted && row->value == earlier.row.value);
    if (newer || this->IsTakenAtOnce(table, *row)) {
      return false;
    }
    held.in_store = *row;
  } else if (earlier.deleted) {
    return false;
  } else {
    held.until = std::min(until, now + HandlersOf(table).keep_missing);
  }
  if (earlier.deleted) {
    this->Withdraw(table, key, now);
  } else {
    this->Apply(table, earlier.row, now);
  }
  known.memory.Hold(key, std::move(held));
  return true;
}

void Catalogue::Settle(const Table table, const std::string& key,
                       const HeldRow& held, const core::TimePoint now) {
  if (!held.in_store) {
    this->Withdraw(table, key, now);
    return;
  }
  const auto target = this->targets.find(key);
  const bool leaves = table == Table::kTargets &&
                      target != this->targets.end() &&
                      target->second.record.draining;
  if (leaves) {
    // A process that drains does so to its end.
    this->Of(table).memory.Put(*held.in_store);
    return;
  }
  this->Apply(table, *held.in_store, now);
}

bool Catalogue::SettleHeld(const core::TimePoint now) {
  bool any = this->kept_restored && !this->KeepsRestored();
  for (const Table table : kAllTables) {
    const TableKnowledge& known = this->Of(table);
    if (!known.confirmed) {
      continue;
    }
    for (const auto& [key, held] : known.memory.DueAt(*known.confirmed)) {
      this->Settle(table, key, held, now);
      any = true;
    }
  }
  if (any) {
    this->CatchUp(this->Revision().Next());
  }
  return any;
}

std::size_t Catalogue::HeldCount() const noexcept {
  std::size_t count = 0;
  for (const TableKnowledge& known : this->tables) {
    count += known.memory.HeldCount();
  }
  return count;
}

bool Catalogue::KeepsRestored() const noexcept {
  if (this->restored == nullptr) {
    return false;
  }
  const std::vector<platform::Position>& sources = this->restored->Sources();
  const bool is_of_earlier_era = std::any_of(
      sources.begin(), sources.end(),
      [this](const auto& source) { return source.Era() < this->Era(); });
  return is_of_earlier_era && this->first_read &&
         this->answered.value_or(*this->first_read) <
             *this->first_read + kReturnTime;
}

}  // namespace trefoilbend::registry
