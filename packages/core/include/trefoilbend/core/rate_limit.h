#ifndef TREFOILBEND_CORE_RATE_LIMIT_H_
#define TREFOILBEND_CORE_RATE_LIMIT_H_

#include <algorithm>
#include <chrono>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::core {

/** @brief Token bucket that holds one second's worth of events. */
class RateLimit {
 public:
  /**
   * @brief Makes a full bucket.
   * @param per_second Events a second.
   */
  explicit RateLimit(const double per_second) noexcept
      : per_second(per_second), tokens(per_second) {}

  /**
   * @brief Asks whether an event may happen now.
   * @param now Current time.
   * @return False if there were too many.
   */
  [[nodiscard]] bool Allow(const TimePoint now) noexcept {
    const std::chrono::duration<double> passed = now - this->last;
    this->last = now;
    this->tokens = std::min(this->per_second,
                            this->tokens + this->per_second * passed.count());
    if (this->tokens < 1) {
      return false;
    }
    this->tokens -= 1;
    return true;
  }

 private:
  double per_second;
  double tokens;
  TimePoint last{};
};

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_RATE_LIMIT_H_
