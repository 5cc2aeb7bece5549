#ifndef TREFOILBEND_REGISTRY_WATCH_PAUSE_H_
#define TREFOILBEND_REGISTRY_WATCH_PAUSE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace trefoilbend::registry {

/** @brief Shortest time between a change and the next watch, so that changes
 * that come together are read together. */
inline constexpr std::chrono::milliseconds kLeastWatchPause{200};

/** @brief Longest time between a change and the next watch; the time within
 * which a change has to hold everywhere is at least twice as long. */
inline constexpr std::chrono::milliseconds kMostWatchPause{1'000};

/** @brief Time for which each entry lengthens the pause of all, so that a fleet
 * that grows does not ask the store more often. */
inline constexpr std::chrono::milliseconds kWatchPausePerEntry{8};

/** @brief Pace of an entry's watches of a table. */
struct WatchPace {
  /** @brief Longest time that the store waits for a change. */
  std::chrono::milliseconds wait{};
  /** @brief Time between a change and the next watch. */
  std::chrono::milliseconds pause = kLeastWatchPause;
  /** @brief Longest time between a failure and the next watch. */
  std::chrono::milliseconds most_backoff{1'000};
};

/**
 * @brief Tells how long an entry waits after a change before it watches a table
 * again.
 * @param entries Entries that watch the table.
 * @return Time to wait.
 */
[[nodiscard]] inline std::chrono::milliseconds WatchPause(
    const std::size_t entries) noexcept {
  const auto wanted = static_cast<std::chrono::milliseconds::rep>(entries) *
                      kWatchPausePerEntry;
  return std::clamp(wanted, kLeastWatchPause, kMostWatchPause);
}

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_WATCH_PAUSE_H_
