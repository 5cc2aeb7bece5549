#ifndef TREFOILBEND_BALANCING_WARM_UP_H_
#define TREFOILBEND_BALANCING_WARM_UP_H_

#include <cstdint>

#include "trefoilbend/balancing/cold_share.h"
#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/**
 * @brief How many calls this entry may have in flight at a target that may be
 * cold.
 *
 * A cold target gets the entry's share, doubled with every few good answers
 * that do not say cold. An entry without a share waits, and then tries with one
 * call. Any sign of cold takes the target back to the share at once.
 */
class WarmUp {
 public:
  /**
   * @brief Takes the target for cold from now on.
   * @param now Current time.
   */
  void Chill(core::TimePoint now) noexcept;

  /** @brief Takes note of a good answer that does not say cold. */
  void AddGoodAnswer() noexcept;

  /**
   * @brief Tells how many calls may be in flight.
   * @param share Part of this entry in what the cold target bears.
   * @param limit Limit of a warm target.
   * @param now Current time.
   * @return Number of calls, at most the limit.
   */
  [[nodiscard]] std::uint32_t Allowed(const ColdShare& share,
                                      std::uint32_t limit,
                                      core::TimePoint now) const noexcept;

  /** @return Whether the target is taken for cold. */
  [[nodiscard]] bool IsCold() const noexcept { return this->cold; }

 private:
  bool cold = false;
  core::TimePoint since{};
  std::uint32_t good_answers = 0;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_WARM_UP_H_
