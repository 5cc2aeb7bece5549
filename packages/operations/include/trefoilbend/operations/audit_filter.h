#ifndef TREFOILBEND_OPERATIONS_AUDIT_FILTER_H_
#define TREFOILBEND_OPERATIONS_AUDIT_FILTER_H_

#include <string>

#include "trefoilbend/inventory/change.h"

namespace trefoilbend::operations {

/** @brief Chooses entries of the audit trail; an empty member takes all. */
struct AuditFilter {
  /** @brief Beginning of who asked. */
  std::string who;
  /** @brief Object that was changed, as kind/name or only its name. */
  std::string object;
  /** @brief Entry that accepted the change. */
  std::string by;
  /** @brief Identity of the change. */
  std::string change_id;
  /** @brief Earliest time, ISO 8601 in UTC or a beginning of it. */
  std::string since;
  /** @brief Latest time, ISO 8601 in UTC or a beginning of it, included. */
  std::string until;

  /**
   * @brief Tells whether an entry of the audit trail is chosen.
   * @param revised Entry of the audit trail.
   * @return True if it meets every member that is not empty.
   */
  [[nodiscard]] bool Matches(const inventory::Revised& revised) const;
};

}  // namespace trefoilbend::operations

#endif  // TREFOILBEND_OPERATIONS_AUDIT_FILTER_H_
