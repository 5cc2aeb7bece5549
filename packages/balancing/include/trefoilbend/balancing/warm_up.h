#ifndef TREFOILBEND_BALANCING_WARM_UP_H_
#define TREFOILBEND_BALANCING_WARM_UP_H_

#include <cstdint>

#include "trefoilbend/balancing/cold_share.h"
#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief How an entry without a share in a cold target finds out whether the
 * target is warm. */
enum class WarmUpTrial : std::uint8_t {
  /** @brief By a single call, after a delay. */
  kCall,
  /** @brief By a request to the target's health path; no call is sent before it
   * succeeds. */
  kHealthCheck,
};

/**
 * @brief Slow start of a target: limits this entry's calls in flight while the
 * target is cold.
 *
 * The limit of a cold target starts at the entry's share and doubles after
 * every few successes. An entry without a share starts with one call once a
 * trial permits it. Any sign that the target is cold resets the limit to the
 * share at once.
 */
class WarmUp {
 public:
  /**
   * @brief Marks the target as cold and restarts its warm-up.
   * @param now Current time.
   */
  void MarkCold(core::TimePoint now) noexcept;

  /** @brief Records a successful response that does not report the target as
   * cold. */
  void OnSuccess() noexcept;

  /** @brief Records a successful health check that does not report the target
   * as cold. */
  void OnWarmHealthCheck() noexcept { this->health_check_passed = this->cold; }

  /**
   * @brief Returns the maximum number of this entry's calls in flight.
   * @param share This entry's share of the calls that the cold target accepts.
   * @param limit Limit of a warm target.
   * @param trial How this entry, if it has no share, finds out whether the
   * target is warm.
   * @param now Current time.
   * @return Number of calls, at most the limit.
   */
  [[nodiscard]] std::uint32_t ConcurrencyLimit(
      const ColdShare& share, std::uint32_t limit, WarmUpTrial trial,
      core::TimePoint now) const noexcept;

  /** @return Whether the target is considered cold. */
  [[nodiscard]] bool IsCold() const noexcept { return this->cold; }

  /** @return Whether the target is considered cold and no health check has
   * found it warm. */
  [[nodiscard]] bool NeedsHealthCheck() const noexcept {
    return this->cold && !this->health_check_passed;
  }

  /** @return Time since which the target is considered cold. */
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
