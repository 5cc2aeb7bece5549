#include "trefoilbend/balancing/subset.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "internal/rendezvous.h"

namespace trefoilbend::balancing {

namespace {

/** A target with its weight for this entry. */
struct Ranked {
  std::uint64_t weight;
  TargetTable::Member* member;
};

void Prefer(std::vector<Ranked>& targets) {
  std::sort(targets.begin(), targets.end(),
            [](const Ranked& a, const Ranked& b) {
              return std::pair{b.weight, a.member->instance.name} <
                     std::pair{a.weight, b.member->instance.name};
            });
  const auto far = std::stable_partition(
      targets.begin(), targets.end(),
      [](const Ranked& target) { return !target.member->far; });
  const auto near = static_cast<std::size_t>(far - targets.begin());
  const std::size_t from_near =
      std::max(std::min(near, kSubset / 2),
               kSubset - std::min(kSubset, targets.size() - near));
  const auto rest = targets.begin() + static_cast<std::ptrdiff_t>(from_near);
  std::rotate(rest, far, targets.end());
  for (std::size_t at = 0; at < kSubset; ++at) {
    targets[at].member->preferred = true;
  }
}

}  // namespace

void PreferSubset(std::vector<TargetTable::Member>& members,
                  const core::InstanceName& self) {
  std::map<core::VersionName, std::vector<Ranked>> versions;
  for (TargetTable::Member& member : members) {
    member.preferred = false;
    if (member.usable) {
      versions[member.instance.version].push_back(
          {internal::RendezvousWeight(member.instance.name, self), &member});
    }
  }
  for (auto& [version, targets] : versions) {
    if (targets.size() > kSubset) {
      Prefer(targets);
      continue;
    }
    for (const Ranked& target : targets) {
      target.member->preferred = true;
    }
  }
}

}  // namespace trefoilbend::balancing
