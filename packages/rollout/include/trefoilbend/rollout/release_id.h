#ifndef TREFOILBEND_ROLLOUT_RELEASE_ID_H_
#define TREFOILBEND_ROLLOUT_RELEASE_ID_H_

#include <chrono>
#include <compare>

#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::rollout {

/** @brief Identity of a release among all that a service ever has. */
struct ReleaseId {
  /** @brief Service whose traffic moves. */
  core::ServiceName service;
  /** @brief Version that the traffic moves to. */
  core::VersionName version;
  /** @brief Wall-clock time at which operators began the release. */
  std::chrono::sys_seconds begun{};

  [[nodiscard]] auto operator<=>(const ReleaseId&) const = default;
};

/**
 * @brief Returns the identity of a release.
 * @param release Release to identify.
 * @return Its identity.
 */
[[nodiscard]] inline ReleaseId IdOf(const inventory::Release& release) {
  return {.service = release.name,
          .version = release.version,
          .begun = release.begun};
}

/**
 * @brief Tells whether a release is neither done nor taken back.
 * @param release Release to look at.
 * @return True while its version may have a share.
 */
[[nodiscard]] inline bool IsUnderWay(
    const inventory::Release& release) noexcept {
  return release.state == inventory::ReleaseState::kMoving ||
         release.state == inventory::ReleaseState::kPaused;
}

/**
 * @brief Tells whether a release moves traffic from one version to another.
 * @param release Release to look at.
 * @return False once it is done or taken back, and for one to the version that
 * carries the traffic already.
 */
[[nodiscard]] inline bool MovesTraffic(
    const inventory::Release& release) noexcept {
  return IsUnderWay(release) && release.version != release.from;
}

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_RELEASE_ID_H_
