#ifndef TREFOILBEND_BALANCING_SUBSET_H_
#define TREFOILBEND_BALANCING_SUBSET_H_

#include <cstddef>
#include <vector>

#include "trefoilbend/balancing/target_table.h"
#include "trefoilbend/core/name.h"

namespace trefoilbend::balancing {

/** @brief Number of targets of one version that an entry prefers, small enough
 * that the entry uses each often enough to know its load and to keep a
 * connection open. */
inline constexpr std::size_t kSubsetSize = 32;

/**
 * @brief Marks the targets that an entry prefers.
 *
 * Of each version, kSubsetSize usable targets are chosen by rendezvous hashing,
 * at least half of them in the entry's data centre if it has that many. The
 * subsets of many entries cover all targets evenly (Beyer et al., Site
 * Reliability Engineering, 2016, chapter 20).
 *
 * @param members Targets of a service, whose marks are set.
 * @param self Entry for which the targets are marked.
 */
void MarkPreferredSubset(std::vector<TargetTable::Member>& members,
                         const core::InstanceName& self);

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_SUBSET_H_
