#ifndef TREFOILBEND_BALANCING_COLD_RATE_LIMITER_H_
#define TREFOILBEND_BALANCING_COLD_RATE_LIMITER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief Most entries that share what one cold target bears, so that the first
 * requests of all of them stay within it. */
inline constexpr std::uint32_t kMaxColdSenders = 4;

/** @brief Token bucket that paces this entry's requests to a cold target. */
class ColdRateLimiter {
 public:
  /**
   * @brief Sets this entry's part of what the target bears.
   * @param per_second Requests a second of this entry; 0 for none.
   */
  void SetRate(const double per_second) noexcept { this->rate = per_second; }

  /**
   * @brief Tells whether a request may be sent.
   * @param now Current time.
   * @return True if the bucket holds a token.
   */
  [[nodiscard]] bool HasToken(const core::TimePoint now) const noexcept {
    return this->TokensAt(now) >= 1;
  }

  /**
   * @brief Takes note of a request that is sent.
   * @param now Current time.
   */
  void TakeToken(const core::TimePoint now) noexcept {
    this->tokens = this->TokensAt(now) - 1;
    this->last = now;
  }

 private:
  [[nodiscard]] double TokensAt(const core::TimePoint now) const noexcept {
    const std::chrono::duration<double> passed = now - this->last;
    return this->rate > 0
               ? std::min(1.0, this->tokens + this->rate * passed.count())
               : 0;
  }

  double rate = 0;
  double tokens = 1;
  core::TimePoint last{};
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_COLD_RATE_LIMITER_H_
