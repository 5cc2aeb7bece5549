#ifndef TREFOILBEND_ADMISSION_QUEUE_H_
#define TREFOILBEND_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "trefoilbend/core/call.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/number.h"

namespace trefoilbend::admission {

/** @brief A call that waits for a target. */
struct QueuedCall {
  /** @brief The call. */
  core::CallId id;
  /** @brief Class of the call. */
  core::Urgency urgency = core::Urgency::kOrdinary;
  /** @brief Time at which the call is of no more use. */
  core::TimePoint deadline;
};

/** @brief Bounds of a queue. */
struct QueueLimits {
  /** @brief Greatest number of waiting calls of each class. */
  std::size_t length = 256;
};

/** @brief Bounded queue of the calls of one service, urgent ones first. */
class Queue {
 public:
  /**
   * @brief Makes an empty queue.
   * @param limits Bounds of the queue.
   */
  explicit Queue(QueueLimits limits) : limits(limits) {}

  /**
   * @brief Adds a call.
   * @param call Call to add.
   * @return False if the class of the call is full.
   */
  [[nodiscard]] bool TryPush(QueuedCall call);

  /** @return The call to serve next, or nothing. */
  [[nodiscard]] std::optional<core::CallId> Front() const noexcept;

  /**
   * @brief Removes a call that was served or cancelled.
   * @param id Call to remove.
   */
  void Remove(core::CallId id);

  /**
   * @brief Removes the calls whose deadline has passed.
   * @param now Current time.
   * @return The removed calls.
   */
  [[nodiscard]] std::vector<core::CallId> Expire(core::TimePoint now);

  /** @return Number of waiting calls. */
  [[nodiscard]] std::size_t Size() const noexcept;

 private:
  static constexpr std::size_t kClasses = 2;

  QueueLimits limits;
  std::array<std::deque<QueuedCall>, kClasses> classes;
};

}  // namespace trefoilbend::admission

#endif  // TREFOILBEND_ADMISSION_QUEUE_H_
