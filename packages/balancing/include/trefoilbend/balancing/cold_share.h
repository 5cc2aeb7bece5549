#ifndef TREFOILBEND_BALANCING_COLD_SHARE_H_
#define TREFOILBEND_BALANCING_COLD_SHARE_H_

#include <cstdint>
#include <vector>

#include "trefoilbend/core/name.h"

namespace trefoilbend::balancing {

/** @brief An entry's part in what a cold target bears. */
struct ColdShare {
  /** @brief Calls that the entry may have in flight there. */
  std::uint32_t calls{};
  /** @brief Place of the entry among all entries for this target, from 0. */
  std::uint32_t rank{};

  [[nodiscard]] bool operator==(const ColdShare&) const = default;
};

/**
 * @brief Divides what a cold target bears among the entries by rendezvous
 * hashing (Thaler and Ravishankar, 1998), so that entries that know the same
 * names agree without a message.
 * @param target Cold target.
 * @param self Entry whose part is asked for.
 * @param entries All live entries.
 * @param allowance Calls in flight that the target bears from all entries.
 * @return Part of the entry; the whole allowance if it is the only one.
 */
[[nodiscard]] ColdShare ComputeColdShare(
    const core::InstanceName& target, const core::InstanceName& self,
    const std::vector<core::InstanceName>& entries, std::uint32_t allowance);

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_COLD_SHARE_H_
