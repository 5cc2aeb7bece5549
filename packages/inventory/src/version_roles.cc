#include "trefoilbend/inventory/version_roles.h"

#include <algorithm>

namespace trefoilbend::inventory {

VersionRoles::VersionRoles(const Service& service, const Release* release)
    : stable(service.version),
      others_are_stable(
          service.carries_unnamed_versions &&
          (release == nullptr || release->state != ReleaseState::kDone)) {
  if (release != nullptr) {
    this->excluded = release->withdrawn;
    this->excluded.push_back(release->version);
  }
}

const core::VersionName& VersionRoles::CallsOf(
    const core::VersionName& version) const noexcept {
  const bool is_excluded =
      std::find(this->excluded.begin(), this->excluded.end(), version) !=
      this->excluded.end();
  return this->others_are_stable && !is_excluded ? this->stable : version;
}

}  // namespace trefoilbend::inventory
