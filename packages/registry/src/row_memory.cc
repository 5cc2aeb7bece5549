#include "trefoilbend/registry/row_memory.h"

#include <utility>

namespace trefoilbend::registry {

void RowMemory::Put(const platform::Row& row) {
  this->held.erase(row.key);
  this->removals.erase(row.key);
  this->rows.insert_or_assign(row.key, row);
}

void RowMemory::Remove(const std::string& key, const core::TimePoint now) {
  std::erase_if(this->removals, [now](const auto& entry) {
    return entry.second.at + kRemovalMemory < now;
  });
  this->held.erase(key);
  const auto known = this->rows.find(key);
  if (known != this->rows.end()) {
    this->removals.insert_or_assign(
        key, Removal{.last = known->second.position, .at = now});
    this->rows.erase(known);
  }
}

void RowMemory::Hold(const std::string& key, HeldRow row) {
  this->held.insert_or_assign(key, std::move(row));
}

bool RowMemory::MayBeOlder(const platform::Row& row) const {
  const auto known = this->rows.find(row.key);
  if (known != this->rows.end()) {
    return row.position.HasLowerNumberThan(known->second.position) &&
           row.value != known->second.value;
  }
  const auto removal = this->removals.find(row.key);
  return removal != this->removals.end() &&
         !removal->second.last.HasLowerNumberThan(row.position);
}

bool RowMemory::Has(const platform::Row& row) const {
  const auto known = this->rows.find(row.key);
  return known != this->rows.end() && known->second.position == row.position;
}

std::set<std::string> RowMemory::Keys() const {
  std::set<std::string> keys;
  for (const auto& [key, row] : this->rows) {
    keys.insert(key);
  }
  for (const auto& [key, row] : this->held) {
    keys.insert(key);
  }
  return keys;
}

const HeldRow* RowMemory::FindHeld(const std::string& key) const {
  const auto found = this->held.find(key);
  return found == this->held.end() ? nullptr : &found->second;
}

platform::Position RowMemory::InStore(const std::string& key) const {
  if (const HeldRow* row = this->FindHeld(key)) {
    return row->in_store ? row->in_store->position : platform::kAbsent;
  }
  const auto known = this->rows.find(key);
  return known == this->rows.end() ? platform::kAbsent : known->second.position;
}

std::map<std::string, HeldRow> RowMemory::DueAt(
    const core::TimePoint as_of) const {
  std::map<std::string, HeldRow> due;
  for (const auto& [key, row] : this->held) {
    if (row.until <= as_of) {
      due.emplace(key, row);
    }
  }
  return due;
}

const platform::Row* RowMemory::Find(const std::string& key) const {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? nullptr : &found->second;
}

}  // namespace trefoilbend::registry
