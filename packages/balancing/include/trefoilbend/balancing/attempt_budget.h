#ifndef TREFOILBEND_BALANCING_ATTEMPT_BUDGET_H_
#define TREFOILBEND_BALANCING_ATTEMPT_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief Hedges and retries that all entries together may make in addition to
 * those that calls deposit; the same on all entries. */
struct FleetAttemptBudget {
  /** @brief Attempts per window; 0 disables the shared budget. */
  std::uint32_t attempts{};
  /** @brief Length of the window. */
  std::chrono::milliseconds window{10'000};
};

/**
 * @brief Token bucket that limits the hedges and retries of one service's
 * calls.
 *
 * Each call deposits a fraction of an attempt. The balance also grows slowly
 * with time, so that a service with few calls can retry too.
 */
class AttemptBudget {
 public:
  /**
   * @brief Makes a full budget.
   * @param deposit_per_call Attempts that each call deposits, from 0 to 1.
   */
  explicit AttemptBudget(const double deposit_per_call) noexcept
      : deposit_per_call(deposit_per_call) {}

  /**
   * @brief Limits this entry to its share of the fleet's budget, so that all
   * entries together do not exceed the fleet's budget in any window.
   * @param fleet_budget Budget of the fleet.
   * @param entries Number of entries that share the budget.
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

  /** @brief Adds the deposit of one call. */
  void Deposit() noexcept {
    this->balance =
        std::min(this->capacity, this->balance + this->deposit_per_call);
  }

  /**
   * @brief Withdraws one attempt if the balance allows it.
   * @param now Current time.
   * @return False if the balance is too low.
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
