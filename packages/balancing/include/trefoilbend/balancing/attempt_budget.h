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
struct FleetAttemptBudget {
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
   * @param deposit_per_call Further attempts that each call pays in, within 0
   * to 1.
   */
  explicit AttemptBudget(const double deposit_per_call) noexcept
      : deposit_per_call(deposit_per_call) {}

  /**
   * @brief Limits this entry to its part of the fleet's allowance, so that the
   * parts of all entries add up to no more in any window.
   * @param fleet_budget Allowance of the fleet.
   * @param entries Entries that may share it.
   */
  void LimitToFleetShare(const FleetAttemptBudget& fleet_budget,
                         const std::size_t entries) noexcept {
    if (fleet_budget.attempts == 0 || entries == 0) {
      return;
    }
    const double entry_share = static_cast<double>(fleet_budget.attempts) /
                               static_cast<double>(entries);
    const std::chrono::duration<double> window = fleet_budget.window;
    this->capacity = std::max(1.0, entry_share / 2);
    this->per_second =
        std::max(0.0, entry_share - this->capacity) / window.count();
    this->balance = std::min(this->balance, this->capacity);
  }

  /** @brief Pays in for a call. */
  void Deposit() noexcept {
    this->balance =
        std::min(this->capacity, this->balance + this->deposit_per_call);
  }

  /**
   * @brief Takes a further attempt out.
   * @param now Current time.
   * @return False if the budget does not allow it.
   */
  [[nodiscard]] bool TryWithdraw(const core::TimePoint now) noexcept {
    const std::chrono::duration<double> passed = now - this->last;
    this->last = now;
    if (this->deposit_per_call > 0) {
      this->balance = std::min(
          this->capacity, this->balance + this->per_second * passed.count());
    }
    if (this->balance < 1) {
      return false;
    }
    this->balance -= 1;
    return true;
  }

 private:
  double deposit_per_call;
  double capacity = 10;
  double per_second = 1;
  double balance = 10;
  core::TimePoint last{};
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_ATTEMPT_BUDGET_H_
