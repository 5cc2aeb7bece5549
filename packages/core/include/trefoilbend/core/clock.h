#ifndef TREFOILBEND_CORE_CLOCK_H_
#define TREFOILBEND_CORE_CLOCK_H_

#include <chrono>

namespace trefoilbend::core {

/** @brief A point on the monotonic clock of this process. */
using TimePoint = std::chrono::steady_clock::time_point;

/** @brief A length of time on the monotonic clock. */
using Duration = std::chrono::steady_clock::duration;

/** @brief Source of the current time, replaced by a manual one in tests. */
class Clock {
 public:
  virtual ~Clock() = default;

  /** @return The current time. */
  [[nodiscard]] virtual TimePoint Now() const noexcept = 0;
};

/** @brief Clock of the running system. */
class SteadyClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override {
    return std::chrono::steady_clock::now();
  }
};

/** @brief Clock that moves only when it is told to. */
class ManualClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override { return this->now; }

  /**
   * @brief Moves the clock forward.
   * @param step Time to add.
   */
  void Advance(Duration step) noexcept { this->now += step; }

 private:
  TimePoint now{};
};

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_CLOCK_H_
