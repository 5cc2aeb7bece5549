#ifndef TREFOILBEND_ROLLOUT_BRISK_LADDER_H_
#define TREFOILBEND_ROLLOUT_BRISK_LADDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/inventory/objects.h"

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

/** @brief Least time for which a share is watched. */
inline constexpr std::chrono::milliseconds kLeastWatch{1'200};

/** @brief Time for which the new version carries all calls before a release is
 * done, since the old version's targets may be stopped then and still work on
 * calls that they got before. */
inline constexpr std::chrono::milliseconds kDrainOfOld{2'000};

/** @brief Part of the old version's slots, in percent, that the new version's
 * targets must have before they carry as much. */
inline constexpr std::uint64_t kBriskCapacityPercent = 60;

/** @brief Calls to the new version by which a fault shows that strikes half of
 * them. */
inline constexpr std::uint32_t kCallsToShow = 30;

/** @brief The same for a fault under load, which strikes fewer. */
inline constexpr std::uint32_t kCallsToShowUnderLoad = 40;

/** @brief Share, in thousandths, from which on it goes to a part of the new
 * version's targets, so that each has its usual load at least. */
inline constexpr std::uint32_t kLeastLoadedShare = 250;

/**
 * @brief Tells whether a share goes to a part of the new version's targets.
 *
 * A smaller share goes to all of them, so that the new version's calls have as
 * much choice among targets as the old one's, and their times compare.
 *
 * @param share Share, in thousandths.
 * @return Whether it does.
 */
[[nodiscard]] constexpr bool LoadsPartOfTargets(
    const std::uint32_t share) noexcept {
  return share >= kLeastLoadedShare && share < inventory::kWholeShare;
}

/** @brief What the times of a brisk release follow from. */
struct BriskRelease {
  /** @brief Time that the release has. */
  core::Duration whole{};
  /** @brief Usable targets of the new version. */
  std::size_t targets{};
  /** @brief Calls a second to both versions; nothing before it is known. */
  std::optional<double> calls_per_second;
};

/**
 * @brief Shares and times of a release that has seconds, not minutes.
 *
 * The first share finds faults that show at once or late; it is larger on a
 * service with few calls, and the release stays there as long as its time
 * allows. The second one is loaded on a few targets, on others at each step, so
 * that they have their usual load at least and faults under load show. It lasts
 * until there are enough calls to judge by. Before the new version carries all
 * calls it has a large share, if the service has calls enough to show something
 * then.
 */
class BriskLadder {
 public:
  /**
   * @brief Makes the ladder of a release.
   * @param release What the times follow from.
   */
  explicit BriskLadder(const BriskRelease& release) noexcept
      : release(release) {}

  /** @return Whether the first share can be made to fit the service's calls. */
  [[nodiscard]] bool KnowsCalls() const noexcept {
    return this->release.calls_per_second.has_value();
  }

  /**
   * @brief Returns the share that follows another one.
   * @param share Share that the release has, in thousandths.
   * @return The next share, in thousandths; the whole for the last ones.
   */
  [[nodiscard]] std::uint32_t ShareAfter(std::uint32_t share) const noexcept;

  /**
   * @brief Returns the least time for which a share is watched.
   * @param share Share, in thousandths.
   * @return The time.
   */
  [[nodiscard]] core::Duration LeastWatch(std::uint32_t share) const noexcept;

  /**
   * @brief Returns the time from the release's begin to the planned end of a
   * share, so that the release is done with a reserve.
   * @param share Share, in thousandths.
   * @return The time; may be less than what has passed already.
   */
  [[nodiscard]] core::Duration PlannedEnd(std::uint32_t share) const noexcept;

  /**
   * @brief Returns how many calls a version may have while there is a doubt, so
   * that a bad one of a small service gets not much more than a tenth.
   * @return Number of calls.
   */
  [[nodiscard]] std::uint64_t MostCallsInDoubt() const noexcept;

  /**
   * @brief Tells whether a share may end before its planned end, once there are
   * enough calls to judge by.
   * @param share Share, in thousandths.
   * @return Whether it may.
   */
  [[nodiscard]] bool EndsWithEnoughCalls(std::uint32_t share) const noexcept;

 private:
  [[nodiscard]] core::Duration Part(int percent) const noexcept;
  [[nodiscard]] std::uint32_t FirstShare() const noexcept;
  /** Share that gives two targets their usual load. */
  [[nodiscard]] std::uint32_t LoadedShare() const noexcept;
  /** Whether the large share brings enough calls in its time; if not, that
   * time is better spent on the share before. */
  [[nodiscard]] bool ShowsFaultsAtLargeShare() const noexcept;
  [[nodiscard]] core::Duration PlannedWatch(std::uint32_t share) const noexcept;

  BriskRelease release;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_BRISK_LADDER_H_
