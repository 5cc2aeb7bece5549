#include "trefoilbend/balancing/cold_share.h"

#include <algorithm>

#include "internal/rendezvous.h"

namespace trefoilbend::balancing {

ColdShare ComputeColdShare(const core::InstanceName& target,
                           const core::InstanceName& self,
                           const std::vector<core::InstanceName>& entries,
                           const std::uint32_t allowance) {
  const std::uint64_t own = internal::RendezvousWeight(target, self);
  const auto before = std::count_if(
      entries.begin(), entries.end(), [&](const core::InstanceName& entry) {
        const std::uint64_t weight = internal::RendezvousWeight(target, entry);
        return entry != self &&
               (weight > own || (weight == own && entry < self));
      });
  const bool listed =
      std::find(entries.begin(), entries.end(), self) != entries.end();
  const auto count =
      static_cast<std::uint32_t>(entries.size() + (listed ? 0 : 1));
  const auto rank = static_cast<std::uint32_t>(before);
  const std::uint32_t extra = rank < allowance % count ? 1 : 0;
  return {.calls = allowance / count + extra, .rank = rank};
}

}  // namespace trefoilbend::balancing
