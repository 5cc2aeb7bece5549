#ifndef TREFOILBEND_BALANCING_CONNECTION_SHARE_H_
#define TREFOILBEND_BALANCING_CONNECTION_SHARE_H_

#include <cstdint>

#include "trefoilbend/balancing/entry_counter.h"
#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/**
 * @brief Returns the number of connections that this entry may open to a
 * target.
 *
 * Each registered entry has a base share, so that it can serve as soon as it
 * starts: an equal part of a quarter of the limit, but at least one connection.
 * The rest is divided among the listed entries, and an entry gets its part once
 * it is known to its peers. The sum over all entries exceeds the limit only if
 * more entries are registered than the target accepts connections.
 *
 * @param connections Connections that the target accepts from all entries.
 * @param entries Number of entries as counted by this entry.
 * @return Number of connections; at least 1.
 */
[[nodiscard]] std::uint32_t ComputeConnectionShare(
    std::uint32_t connections, const EntryCount& entries) noexcept;

/**
 * @brief Returns the interval between this entry's new connections to a target
 * that keeps the cost of accepting connections from all entries within a part
 * of the target's time.
 * @param cost Time that the target needs to accept a connection.
 * @param percent Part of the target's time, in percent; 0 for no limit.
 * @param entries Number of entries as counted by this entry.
 * @return Time between two new connections; zero for no limit.
 */
[[nodiscard]] core::Duration ComputeConnectionInterval(
    core::Duration cost, std::uint32_t percent,
    const EntryCount& entries) noexcept;

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_CONNECTION_SHARE_H_
