#ifndef TREFOILBEND_BALANCING_CONNECTION_SHARE_H_
#define TREFOILBEND_BALANCING_CONNECTION_SHARE_H_

#include <cstdint>

#include "trefoilbend/balancing/entry_counter.h"
#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/**
 * @brief Divides the connections that a target bears among the entries.
 *
 * Each registered entry has a base share of a quarter of the limit at most, so
 * that one that starts can serve at once. The rest is divided among the entries
 * that count as settled. The sum over all entries passes the limit only if more
 * entries are registered than the target bears connections.
 *
 * @param connections Connections that the target bears from all entries.
 * @param entries Entries as this one counts them.
 * @return Connections that this entry may open; at least 1.
 */
[[nodiscard]] std::uint32_t ComputeConnectionShare(
    std::uint32_t connections, const EntryCount& entries) noexcept;

/**
 * @brief Tells how far apart this entry's new connections to a target are, so
 * that those of all entries cost no more than a part of the target's time.
 * @param cost Time that the target needs to take a connection.
 * @param percent Part of the target's time, in percent; 0 for no pacing.
 * @param entries Entries as this one counts them.
 * @return Time between two new connections.
 */
[[nodiscard]] core::Duration ComputeConnectionInterval(
    core::Duration cost, std::uint32_t percent,
    const EntryCount& entries) noexcept;

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_CONNECTION_SHARE_H_
