#include "trefoilbend/idempotency/claim_sweep.h"

#include <optional>
#include <variant>

#include "trefoilbend/idempotency/claim.h"

namespace trefoilbend::idempotency {

platform::Transaction ClaimSweep::Take(const std::vector<platform::Row>& rows,
                                       const IssueTime now) {
  platform::Transaction deletion;
  for (const platform::Row& row : rows) {
    const ClaimStep claim = Settle(platform::FoundRow{.row = row, .era = {}});
    const auto* home = std::get_if<Home>(&claim);
    if (home != nullptr && home->issued + this->retention < now) {
      deletion.conditions.push_back({.key = row.key, .position = row.position});
      deletion.writes.push_back({.key = row.key, .value = std::nullopt});
    }
  }
  this->after = rows.size() < kPage ? std::string{} : rows.back().key;
  return deletion;
}

}  // namespace trefoilbend::idempotency
