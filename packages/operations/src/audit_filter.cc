#include "trefoilbend/operations/audit_filter.h"

#include <algorithm>

namespace trefoilbend::operations {

namespace {

bool Touches(const inventory::Revised& revised, const std::string& object) {
  return std::any_of(
      revised.changes.begin(), revised.changes.end(),
      [&](const inventory::Change& change) {
        const inventory::ObjectKey key =
            inventory::KeyOf(change.after ? *change.after : *change.before);
        return key.name == object || inventory::ToString(key) == object;
      });
}

}  // namespace

bool AuditFilter::Matches(const inventory::Revised& revised) const {
  return revised.who.starts_with(this->who) &&
         (this->object.empty() || Touches(revised, this->object)) &&
         (this->by.empty() || revised.by.Text() == this->by) &&
         (this->change_id.empty() || revised.change_id == this->change_id) &&
         revised.at >= this->since &&
         (this->until.empty() ||
          revised.at.substr(0, this->until.size()) <= this->until);
}

}  // namespace trefoilbend::operations
