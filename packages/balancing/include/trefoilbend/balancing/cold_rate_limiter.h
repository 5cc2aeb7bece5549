#ifndef TREFOILBEND_BALANCING_COLD_RATE_LIMITER_H_
#define TREFOILBEND_BALANCING_COLD_RATE_LIMITER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief Maximum number of entries that share the request rate of one cold
 * target. Each may send one request at once, so the bound keeps the first
 * requests of all entries within that rate. */
inline constexpr std::uint32_t kMaxColdSenders = 4;

/** @brief Token bucket that limits the rate of this entry's requests to a cold
 * target. */
class ColdRateLimiter {
 public:
  /**
   * @brief Sets this entry's share of the target's request rate.
   * @param per_second Requests of this entry per second; 0 for none.
   */
  void SetRate(const double per_second) noexcept { this->rate = per_second; }

  /**
   * @brief Returns whether a request may be sent.
   * @param now Current time.
   * @return True if the bucket holds a token.
   */
  [[nodiscard]] bool HasToken(const core::TimePoint now) const noexcept {
    return this->TokensAt(now) >= 1;
  }

  /**
   * @brief Takes a token for a request that is sent.
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
