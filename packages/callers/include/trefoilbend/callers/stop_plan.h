#ifndef TREFOILBEND_CALLERS_STOP_PLAN_H_
#define TREFOILBEND_CALLERS_STOP_PLAN_H_

#include <chrono>
#include <optional>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::callers {

/** @brief Times of a planned stop, counted from its beginning. */
struct StopTimes {
  /** @brief Time for which new connections are accepted. */
  std::chrono::milliseconds serve{};
  /** @brief Time after which the process is killed; nothing if it never is. */
  std::optional<std::chrono::milliseconds> grace;
};

/**
 * @brief Decides which calls an entry takes while it stops.
 *
 * The process is killed at the end of the grace. A call whose deadline lies
 * beyond could be cut while a target runs it, so it is refused before it is
 * sent anywhere; its caller can go to another entry at once.
 */
class StopPlan {
 public:
  /**
   * @brief Makes the plan of an entry that does not stop yet.
   * @param times Times of the stop.
   */
  explicit StopPlan(const StopTimes& times) : times(times) {}

  /**
   * @brief Begins the stop.
   * @param now Current time.
   */
  void Begin(core::TimePoint now);

  /** @return Whether the stop has begun. */
  [[nodiscard]] bool HasBegun() const noexcept { return this->begun; }

  /** @return Time up to which new connections are accepted. */
  [[nodiscard]] core::TimePoint ServesUntil() const noexcept {
    return this->serves_until;
  }

  /** @return Time by which every answer is on its way; the greatest time while
   * there is none. */
  [[nodiscard]] core::TimePoint AnswersUntil() const noexcept {
    return this->answers_until;
  }

  /**
   * @brief Tells whether a call that arrives now may be taken.
   * @param deadline Deadline of the call.
   * @return Whether it has its answer before the process ends.
   */
  [[nodiscard]] bool MayTake(const core::TimePoint deadline) const noexcept {
    return deadline <= this->answers_until;
  }

 private:
  StopTimes times;
  bool begun = false;
  core::TimePoint serves_until = core::TimePoint::max();
  core::TimePoint answers_until = core::TimePoint::max();
};

}  // namespace trefoilbend::callers

#endif  // TREFOILBEND_CALLERS_STOP_PLAN_H_
