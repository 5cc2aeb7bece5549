#ifndef TREFOILBEND_BALANCING_INTERNAL_RENDEZVOUS_H_
#define TREFOILBEND_BALANCING_INTERNAL_RENDEZVOUS_H_

#include <xxhash.h>

#include <cstdint>
#include <string>

#include "trefoilbend/core/name.h"

namespace trefoilbend::balancing::internal {

/**
 * @brief Returns the weight of an entry for a target by rendezvous hashing
 * (Thaler and Ravishankar, 1998). Entries compute the same weights from the
 * same names, so they agree on the ranking.
 * @param target Name of the target.
 * @param entry Name of the entry.
 * @return The weight; the highest weight ranks first.
 */
[[nodiscard]] inline std::uint64_t RendezvousWeight(
    const core::InstanceName& target, const core::InstanceName& entry) {
  const std::string& key = target.Text();
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(entry.Text().data(), entry.Text().size(), seed);
}

}  // namespace trefoilbend::balancing::internal

#endif  // TREFOILBEND_BALANCING_INTERNAL_RENDEZVOUS_H_
