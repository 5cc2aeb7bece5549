#ifndef TREFOILBEND_BALANCING_COLD_SHARE_H_
#define TREFOILBEND_BALANCING_COLD_SHARE_H_

#include <cstdint>
#include <vector>

#include "trefoilbend/core/name.h"

namespace trefoilbend::balancing {

/** @brief Share of an entry in the calls in flight that a cold target accepts.
 */
struct ColdShare {
  /** @brief Maximum number of the entry's calls in flight at the target. */
  std::uint32_t calls{};
  /** @brief Rank of the entry among all entries for this target, from 0. */
  std::uint32_t rank{};

  [[nodiscard]] bool operator==(const ColdShare&) const = default;
};

/**
 * @brief Returns the share of an entry in the calls in flight that a cold
 * target accepts.
 *
 * The shares are assigned by rendezvous hashing (Thaler and Ravishankar, 1998),
 * so that entries with the same view of the names agree without exchanging
 * messages.
 *
 * @param target Cold target.
 * @param self Entry whose share is computed.
 * @param entries All live entries.
 * @param allowance Calls in flight that the target accepts from all entries.
 * @return Share of the entry; the whole allowance if it is the only one.
 */
[[nodiscard]] ColdShare ComputeColdShare(
    const core::InstanceName& target, const core::InstanceName& self,
    const std::vector<core::InstanceName>& entries, std::uint32_t allowance);

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_COLD_SHARE_H_
