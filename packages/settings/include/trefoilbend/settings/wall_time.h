#ifndef TREFOILBEND_SETTINGS_WALL_TIME_H_
#define TREFOILBEND_SETTINGS_WALL_TIME_H_

#include <chrono>
#include <optional>
#include <string>

namespace trefoilbend::settings {

/**
 * @brief Reads a wall-clock time with its zone, as in ISO 8601 (RFC 3339).
 * @param text Such as 2026-12-04T18:00:00Z or 2026-12-04T12:00:00-06:00.
 * @return The time, or nothing if the text is anything else, such as a day that
 * does not exist or a time without a zone.
 */
[[nodiscard]] std::optional<std::chrono::sys_seconds> ParseWallTime(
    const std::string& text);

}  // namespace trefoilbend::settings

#endif  // TREFOILBEND_SETTINGS_WALL_TIME_H_
