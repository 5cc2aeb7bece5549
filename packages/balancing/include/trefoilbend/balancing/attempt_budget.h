#ifndef TREFOILBEND_BALANCING_ATTEMPT_BUDGET_H_
#define TREFOILBEND_BALANCING_ATTEMPT_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief Further attempts that the entries of a fleet may make together beside
 * those that calls pay in; equal on all entries. */
struct FleetAllowance {
  /** @brief Attempts in one window; 0 if the fleet shares no allowance. */
  std::uint32_t attempts{};
  /** @brief Length of the window. */
  std::chrono::milliseconds window{10'000};
};

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

  /**
   * @brief Limits this entry to its part of the fleet's allowance, so that the
   * parts of all entries add up to no more in any window.
   * @param allowance Allowance of the fleet.
   * @param entries Entries that may share it.
   */
  void Divide(const FleetAllowance& allowance,
              const std::size_t entries) noexcept {
    if (allowance.attempts == 0 || entries == 0) {
      return;
    }
    const double part =
        static_cast<double>(allowance.attempts) / static_cast<double>(entries);
    const std::chrono::duration<double> window = allowance.window;
    this->most = std::max(1.0, part / 2);
    this->per_second = std::max(0.0, part - this->most) / window.count();
    this->attempts = std::min(this->attempts, this->most);
  }

  /** @brief Pays in for a call. */
  void PayIn() noexcept {
    this->attempts = std::min(this->most, this->attempts + this->share);
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
      this->attempts = std::min(
          this->most, this->attempts + this->per_second * passed.count());
    }
    if (this->attempts < 1) {
      return false;
    }
    this->attempts -= 1;
    return true;
  }

 private:
  double share;
  double most = 10;
  double per_second = 1;
  double attempts = 10;
  core::TimePoint last{};
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_ATTEMPT_BUDGET_H_
