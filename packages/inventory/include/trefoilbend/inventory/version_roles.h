#ifndef TREFOILBEND_INVENTORY_VERSION_ROLES_H_
#define TREFOILBEND_INVENTORY_VERSION_ROLES_H_

#include <vector>

#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::inventory {

/** @brief Which calls the targets of a service take, by the version that they
 * run. */
class VersionRoles {
 public:
  VersionRoles() = default;

  /**
   * @brief Works out the roles of a service's versions.
   * @param service Service of the targets.
   * @param release Its release, whatever its state; null without one.
   */
  VersionRoles(const Service& service, const Release* release);

  /**
   * @brief Tells which calls a target takes.
   * @param version Version that the target runs.
   * @return Version whose calls it takes: the service's if it carries the
   * service's traffic, else its own. Of the latter only that of the release has
   * calls.
   */
  [[nodiscard]] const core::VersionName& CallsOf(
      const core::VersionName& version) const noexcept;

  [[nodiscard]] bool operator==(const VersionRoles&) const = default;

 private:
  core::VersionName stable;
  /** Versions that never take the calls of the stable one. */
  std::vector<core::VersionName> excluded;
  bool others_are_stable{};
};

}  // namespace trefoilbend::inventory

#endif  // TREFOILBEND_INVENTORY_VERSION_ROLES_H_
