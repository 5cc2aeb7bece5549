#include "trefoilbend/balancing/connection_share.h"

#include <algorithm>

namespace trefoilbend::balancing {

namespace {

/** The base shares may together take the limit divided by this number. */
constexpr std::uint32_t kBaseShareDivisor = 4;
constexpr std::uint32_t kWholePercent = 100;

}  // namespace

std::uint32_t ComputeConnectionShare(const std::uint32_t connections,
                                     const EntryCount& entries) noexcept {
  const std::uint32_t registered = std::max(1U, entries.registered);
  const std::uint32_t base =
      std::max(1U, connections / kBaseShareDivisor / registered);
  const std::uint32_t reserved = base * registered;
  if (!entries.known_to_peers || connections <= reserved) {
    return base;
  }
  return base + (connections - reserved) / std::max(1U, entries.listed);
}

core::Duration ComputeConnectionInterval(const core::Duration cost,
                                         const std::uint32_t percent,
                                         const EntryCount& entries) noexcept {
  if (percent == 0) {
    return core::Duration::zero();
  }
  return cost * kWholePercent / percent * std::max(1U, entries.registered);
}

}  // namespace trefoilbend::balancing
