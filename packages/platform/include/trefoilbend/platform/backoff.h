#ifndef TREFOILBEND_PLATFORM_BACKOFF_H_
#define TREFOILBEND_PLATFORM_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace trefoilbend::platform {

/** @brief Bounds of a backoff. */
struct BackoffLimits {
  /** @brief Greatest delay after the first failure. */
  std::chrono::milliseconds first{500};
  /** @brief Greatest delay after many failures. */
  std::chrono::milliseconds most{4'000};
};

/** @brief Exponential backoff with full jitter: each delay is drawn evenly
 * between zero and a bound that doubles with each failure. */
class Backoff {
 public:
  /**
   * @brief Makes a backoff without failures.
   * @param limits Bounds of the delays.
   * @param seed Seed of the jitter.
   */
  Backoff(BackoffLimits limits, std::uint64_t seed)
      : limits(limits), random(seed), bound(limits.first) {}

  /**
   * @brief Takes note of a failure.
   * @return Time to wait before the next attempt.
   */
  [[nodiscard]] std::chrono::milliseconds Fail();

  /** @brief Takes note of a success. */
  void Reset() noexcept { this->bound = this->limits.first; }

 private:
  BackoffLimits limits;
  std::mt19937_64 random;
  std::chrono::milliseconds bound;
};

}  // namespace trefoilbend::platform

#endif  // TREFOILBEND_PLATFORM_BACKOFF_H_
