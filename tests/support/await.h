#ifndef TREFOILBEND_TESTS_SUPPORT_AWAIT_H_
#define TREFOILBEND_TESTS_SUPPORT_AWAIT_H_

#include <chrono>
#include <functional>
#include <thread>

namespace trefoilbend::tests {

/**
 * @brief Waits for a condition.
 * @param condition Condition that is polled.
 * @param limit Longest wait.
 * @param poll Time between two looks.
 * @return Whether the condition came true.
 */
[[nodiscard]] inline bool AwaitCondition(const std::function<bool()>& condition,
                                         const std::chrono::milliseconds limit,
                                         const std::chrono::milliseconds poll) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(poll);
  }
  return true;
}

}  // namespace trefoilbend::tests

#endif  // TREFOILBEND_TESTS_SUPPORT_AWAIT_H_
