#ifndef TREFOILBEND_INVENTORY_CHANGE_H_
#define TREFOILBEND_INVENTORY_CHANGE_H_

#include <optional>
#include <string>
#include <vector>

#include "trefoilbend/core/number.h"
#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::inventory {

/** @brief Replacement of one object; nothing stands for its absence. */
struct Change {
  /** @brief Object before the change. */
  std::optional<Object> before;
  /** @brief Object after the change. */
  std::optional<Object> after;
};

/** @brief All changes that took effect with one revision, as the audit trail
 * keeps them. */
struct Revised {
  /** @brief Revision that begins with these changes. */
  core::Revision revision;
  /** @brief Identity of the request, so that a repeated one is recognised. */
  std::string change_id;
  /** @brief Who asked for the change. */
  std::string who;
  /** @brief Why, in the words of who asked. */
  std::string why;
  /** @brief Time of acceptance by the entry's wall clock, ISO 8601 in UTC. */
  std::string at;
  /** @brief Entry that accepted the change. */
  core::InstanceName by;
  /** @brief Changes of objects. */
  std::vector<Change> changes;
};

}  // namespace trefoilbend::inventory

#endif  // TREFOILBEND_INVENTORY_CHANGE_H_
