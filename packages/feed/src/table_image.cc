#include "trefoilbend/feed/table_image.h"

#include <algorithm>

#include "trefoilbend/core/outcome.h"

namespace trefoilbend::feed {

void TableImage::Take(const TableNews& news) {
  std::visit(core::Visitor{[this](const platform::TableChanges& changes) {
                             this->TakeChanges(changes);
                           },
                           [this](const platform::TableState& state) {
                             this->TakeState(state);
                           }},
             news);
}

void TableImage::TakeState(const platform::TableState& state) {
  if (state.version < this->version) {
    return;
  }
  this->rows.clear();
  this->deletions.clear();
  this->newest = std::max(this->newest, state.version);
  for (const platform::Row& row : state.rows) {
    this->Put(row);
  }
  this->forgotten = state.version;
  this->version = state.version;
}

void TableImage::TakeChanges(const platform::TableChanges& changes) {
  for (const platform::RowChange& change : changes.changes) {
    if (change.row.version <= this->version) {
      continue;
    }
    if (change.deleted) {
      this->Delete(change.row.key, change.row.version);
    } else {
      this->Put(change.row);
    }
  }
  this->version = std::max(this->version, changes.version);
}

void TableImage::Put(const platform::Row& row) {
  this->rows.insert_or_assign(row.key, row);
  this->newest = std::max(this->newest, row.version);
}

void TableImage::Delete(const std::string& key, const platform::RowVersion at) {
  this->rows.erase(key);
  this->newest = std::max(this->newest, at);
  this->deletions.emplace_back(key, at);
  if (this->deletions.size() > this->most_deletions) {
    this->forgotten = std::max(this->forgotten, this->deletions.front().second);
    this->deletions.pop_front();
  }
}

TableNews TableImage::After(const platform::RowVersion after) const {
  if (after < this->forgotten) {
    platform::TableState state{.rows = {}, .version = this->version};
    for (const auto& [key, row] : this->rows) {
      state.rows.push_back(row);
    }
    return state;
  }
  platform::TableChanges news{.changes = {}, .version = this->version};
  for (const auto& [key, deleted_at] : this->deletions) {
    if (deleted_at > after) {
      news.changes.push_back(
          {.row = {.key = key, .value = "", .version = deleted_at},
           .deleted = true});
    }
  }
  for (const auto& [key, row] : this->rows) {
    if (row.version > after) {
      news.changes.push_back({.row = row, .deleted = false});
    }
  }
  std::stable_sort(
      news.changes.begin(), news.changes.end(),
      [](const platform::RowChange& a, const platform::RowChange& b) {
        return a.row.version < b.row.version;
      });
  return news;
}

}  // namespace trefoilbend::feed
