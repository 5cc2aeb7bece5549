#ifndef TREFOILBEND_INVENTORY_SNAPSHOT_H_
#define TREFOILBEND_INVENTORY_SNAPSHOT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "trefoilbend/inventory/configuration.h"

namespace trefoilbend::inventory {

/** @brief Why a snapshot cannot be used. */
enum class SnapshotProblem : std::uint8_t {
  /** @brief The text is not a snapshot. */
  kMalformed,
  /** @brief The text was damaged after it was written. */
  kChecksum,
  /** @brief A newer program wrote it. */
  kNewerFormat,
};

/**
 * @brief Describes a problem for a log line.
 * @param problem Problem to describe.
 * @return A short text.
 */
[[nodiscard]] const char* ToString(SnapshotProblem problem) noexcept;

/**
 * @brief Writes a whole configuration with its format and checksum (XXH64).
 * @param configuration Configuration to write.
 * @return The text.
 */
[[nodiscard]] std::string EncodeSnapshot(const Configuration& configuration);

/**
 * @brief Reads a whole configuration.
 * @param text Text that EncodeSnapshot wrote.
 * @return The configuration, or why the text cannot be used.
 */
[[nodiscard]] std::variant<ConfigurationPtr, SnapshotProblem> DecodeSnapshot(
    std::string_view text);

}  // namespace trefoilbend::inventory

#endif  // TREFOILBEND_INVENTORY_SNAPSHOT_H_
