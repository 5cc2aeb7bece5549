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
  /** @brief Priority class of the call. */
  core::Urgency urgency = core::Urgency::kOrdinary;
  /** @brief Time after which the call is refused. */
  core::TimePoint deadline;
};

/** @brief Limits of a queue. */
struct QueueLimits {
  /** @brief Maximum number of waiting calls in each priority class. */
  std::size_t length = 256;
};

/** @brief Bounded queue of the waiting calls of one service; urgent calls come
 * first, then the order of arrival. */
class Queue {
 public:
  /**
   * @brief Creates an empty queue.
   * @param limits Limits of the queue.
   */
  explicit Queue(QueueLimits limits) : limits(limits) {}

  /**
   * @brief Appends a call to its priority class.
   * @param call Call to append.
   * @return False if the class is full.
   */
  [[nodiscard]] bool TryPush(QueuedCall call);

  /** @return The call to dispatch next; `std::nullopt` if there is none. */
  [[nodiscard]] std::optional<core::CallId> Front() const noexcept;

  /**
   * @brief Removes a call that was dispatched or cancelled.
   * @param id Call to remove; ignored if it is not queued.
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
  static constexpr std::size_t kClassCount = 2;

  QueueLimits limits;
  std::array<std::deque<QueuedCall>, kClassCount> classes;
};

}  // namespace trefoilbend::admission

#endif  // TREFOILBEND_ADMISSION_QUEUE_H_
