#ifndef TREFOILBEND_BALANCING_SUBSET_H_
#define TREFOILBEND_BALANCING_SUBSET_H_

#include <cstddef>
#include <vector>

#include "trefoilbend/balancing/target_table.h"
#include "trefoilbend/core/name.h"

namespace trefoilbend::balancing {

/** @brief Targets of one version that an entry prefers, so that it meets each
 * of them often enough to know its load and to keep a connection to it. */
inline constexpr std::size_t kSubsetSize = 32;

/**
 * @brief Marks the targets that an entry prefers to the others: of each version
 * kSubsetSize usable ones, at least half of them in its data centre if there
 * are as many, by rendezvous hashing. Subsets of many entries cover all targets
 * evenly (Beyer et al., Site Reliability Engineering, 2016, chapter 20).
 * @param members Targets of a service; their marks are set.
 * @param self Entry that prefers them.
 */
void MarkPreferredSubset(std::vector<TargetTable::Member>& members,
                         const core::InstanceName& self);

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_SUBSET_H_
