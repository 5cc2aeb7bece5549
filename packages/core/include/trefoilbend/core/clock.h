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

/** @brief Wall-clock time that this process keeps by the monotonic clock, so
 * that steps of the system's wall clock do not move it. */
class WallClock {
 public:
  /** @return Current time by this process. */
  [[nodiscard]] std::chrono::system_clock::time_point Now() const noexcept {
    return this->wall_start +
           std::chrono::duration_cast<std::chrono::system_clock::duration>(
               std::chrono::steady_clock::now() - this->steady_start);
  }

  /** @return Current time in whole seconds. */
  [[nodiscard]] std::chrono::sys_seconds Seconds() const noexcept {
    return std::chrono::floor<std::chrono::seconds>(this->Now());
  }

 private:
  std::chrono::system_clock::time_point wall_start =
      std::chrono::system_clock::now();
  TimePoint steady_start = std::chrono::steady_clock::now();
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
