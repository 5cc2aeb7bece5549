#ifndef TREFOILBEND_ROLLOUT_BRISK_LADDER_H_
#define TREFOILBEND_ROLLOUT_BRISK_LADDER_H_

#include <chrono>
#include <cstdint>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::rollout {

/** @brief How fast releases may go. */
enum class Pace : std::uint8_t {
  /** @brief Each step waits for enough calls on each route. */
  kCareful,
  /** @brief Releases of up to kBriskRelease follow the brisk ladder. */
  kBrisk,
};

/** @brief Time up to which a release follows the brisk ladder. */
inline constexpr std::chrono::seconds kBriskRelease{120};

/** @brief Least time for which a share is watched once the first one is over.
 */
inline constexpr std::chrono::milliseconds kLeastWatch{1'200};

/** @brief Time for which the new version carries all calls before a release is
 * done, since the old version's targets may be stopped then and still work on
 * calls that they got before. */
inline constexpr std::chrono::milliseconds kDrainOfOld{2'000};

/** @brief Part of the old version's slots, in percent, that the new version's
 * targets must have before they carry as much. */
inline constexpr std::uint64_t kBriskCapacityPercent = 60;

/** @brief What follows a share of a release that has seconds, not minutes. */
struct BriskStep {
  /** @brief Share after which the step comes, in thousandths. */
  std::uint32_t after{};
  /** @brief Share of the step, in thousandths. */
  std::uint32_t share{};
  /** @brief Part of the release's time, in percent, for which the share before
   * is watched. */
  int watch_percent{};
};

/**
 * @brief Returns the step that follows a share.
 *
 * All shares before the last, weighted by their times, add up to less than a
 * tenth of the release's calls, so that a version whose fault shows late has
 * had a small part of them.
 *
 * @param share Share that the release has, in thousandths.
 * @return The next step; the last one for any share above the ladder.
 */
[[nodiscard]] const BriskStep& BriskStepAfter(std::uint32_t share) noexcept;

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_BRISK_LADDER_H_
