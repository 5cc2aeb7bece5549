#ifndef TREFOILBEND_BALANCING_ATTEMPT_BUDGET_H_
#define TREFOILBEND_BALANCING_ATTEMPT_BUDGET_H_

#include <algorithm>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/**
 * @brief Budget of the further attempts, hedges and retries alike, of one
 * service's calls.
 *
 * Each call pays in a share of an attempt; time pays in a little, so that a
 * service with few calls can retry too.
 */
class AttemptBudget {
 public:
  /**
   * @brief Makes a full budget.
   * @param share Further attempts that each call pays in, within 0 to 1.
   */
  explicit AttemptBudget(const double share) noexcept : share(share) {}

  /** @brief Pays in for a call. */
  void PayIn() noexcept {
    this->attempts = std::min(kMost, this->attempts + this->share);
  }

  /**
   * @brief Takes a further attempt out.
   * @param now Current time.
   * @return False if the budget does not allow it.
   */
  [[nodiscard]] bool Take(const core::TimePoint now) noexcept {
    const std::chrono::duration<double> passed = now - this->last;
    this->last = now;
    if (this->share > 0) {
      this->attempts =
          std::min(kMost, this->attempts + kPerSecond * passed.count());
    }
    if (this->attempts < 1) {
      return false;
    }
    this->attempts -= 1;
    return true;
  }

 private:
  static constexpr double kMost = 10;
  static constexpr double kPerSecond = 1;

  double share;
  double attempts = kMost;
  core::TimePoint last{};
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_ATTEMPT_BUDGET_H_
