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
  if (state.position.Precedes(this->known)) {
    return;
  }
  if (this->known.IsOfEarlierEraThan(state.position) &&
      this->known != platform::Position{}) {
    this->earlier = this->Content();
  }
  this->rows.clear();
  this->deletions.clear();
  this->newest = core::LaterOf(this->newest, state.position);
  for (const platform::Row& row : state.rows) {
    this->Put(row);
  }
  this->forgotten = state.position;
  this->known = state.position;
}

/** Only a whole table begins an era. */
void TableImage::TakeChanges(const platform::TableChanges& changes) {
  if (!changes.position.SharesEraWith(this->known)) {
    return;
  }
  for (const platform::RowChange& change : changes.changes) {
    if (!this->known.Precedes(change.row.position)) {
      continue;
    }
    if (change.deleted) {
      this->Delete(change.row.key, change.row.position);
    } else {
      this->Put(change.row);
    }
  }
  this->known = core::LaterOf(this->known, changes.position);
}

void TableImage::Put(const platform::Row& row) {
  this->rows.insert_or_assign(row.key, row);
  this->newest = core::LaterOf(this->newest, row.position);
}

void TableImage::Delete(const std::string& key, const platform::Position& at) {
  this->rows.erase(key);
  this->newest = core::LaterOf(this->newest, at);
  this->deletions.emplace_back(key, at);
  if (this->deletions.size() > this->most_deletions) {
    this->forgotten =
        core::LaterOf(this->forgotten, this->deletions.front().second);
    this->deletions.pop_front();
  }
}

platform::TableChanges TableImage::Content() const {
  platform::TableChanges content{.changes = {}, .position = this->known};
  for (const auto& [key, deleted_at] : this->deletions) {
    if (!this->rows.contains(key)) {
      content.changes.push_back(
          {.row = {.key = key, .value = "", .position = deleted_at},
           .deleted = true});
    }
  }
  for (const auto& [key, row] : this->rows) {
    content.changes.push_back({.row = row, .deleted = false});
  }
  return content;
}

TableNews TableImage::After(const platform::Position& after) const {
  if (after.Precedes(this->forgotten)) {
    platform::TableState state{.rows = {}, .position = this->known};
    for (const auto& [key, row] : this->rows) {
      state.rows.push_back(row);
    }
    return state;
  }
  platform::TableChanges news{.changes = {}, .position = this->known};
  for (const auto& [key, deleted_at] : this->deletions) {
    if (after.Precedes(deleted_at)) {
      news.changes.push_back(
          {.row = {.key = key, .value = "", .position = deleted_at},
           .deleted = true});
    }
  }
  for (const auto& [key, row] : this->rows) {
    if (after.Precedes(row.position)) {
      news.changes.push_back({.row = row, .deleted = false});
    }
  }
  std::stable_sort(
      news.changes.begin(), news.changes.end(),
      [](const platform::RowChange& a, const platform::RowChange& b) {
        return a.row.position.Precedes(b.row.position);
      });
  return news;
}

}  // namespace trefoilbend::feed
