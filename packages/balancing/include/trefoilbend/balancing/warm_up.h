#ifndef TREFOILBEND_BALANCING_WARM_UP_H_
#define TREFOILBEND_BALANCING_WARM_UP_H_

#include <cstdint>

#include "trefoilbend/balancing/cold_share.h"
#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief How an entry without a share in a cold target learns that it is warm.
 */
enum class WarmUpTrial : std::uint8_t {
  /** @brief It waits, and then tries with one call. */
  kCall,
  /** @brief It asks the target's health path, and sends nothing before. */
  kHealthCheck,
};

/**
 * @brief How many calls this entry may have in flight at a target that may be
 * cold.
 *
 * A cold target gets the entry's share, doubled with every few good answers
 * that do not say cold. An entry without a share begins with one call once a
 * trial allows it. Any sign of cold takes the target back to the share at once.
 */
class WarmUp {
 public:
  /**
   * @brief Takes the target for cold from now on.
   * @param now Current time.
   */
  void MarkCold(core::TimePoint now) noexcept;

  /** @brief Takes note of a good answer that does not say cold. */
  void OnSuccess() noexcept;

  /** @brief Takes note of a health check that does not say cold. */
  void OnWarmHealthCheck() noexcept { this->health_check_passed = this->cold; }

  /**
   * @brief Tells how many calls may be in flight.
   * @param share Part of this entry in what the cold target bears.
   * @param limit Limit of a warm target.
   * @param trial How this entry learns that the target is warm if it has no
   * share.
   * @param now Current time.
   * @return Number of calls, at most the limit.
   */
  [[nodiscard]] std::uint32_t ConcurrencyLimit(
      const ColdShare& share, std::uint32_t limit, WarmUpTrial trial,
      core::TimePoint now) const noexcept;

  /** @return Whether the target is taken for cold. */
  [[nodiscard]] bool IsCold() const noexcept { return this->cold; }

  /** @return Whether the target is taken for cold, and no health check has said
   * otherwise. */
  [[nodiscard]] bool NeedsHealthCheck() const noexcept {
    return this->cold && !this->health_check_passed;
  }

  /** @return Time since which the target is taken for cold. */
  [[nodiscard]] core::TimePoint ColdSince() const noexcept {
    return this->cold_since;
  }

 private:
  [[nodiscard]] bool MayStartTrial(const ColdShare& share, WarmUpTrial trial,
                                   core::TimePoint now) const noexcept;

  bool cold = false;
  bool health_check_passed = false;
  core::TimePoint cold_since{};
  std::uint32_t successes = 0;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_WARM_UP_H_
