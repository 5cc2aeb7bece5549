#include "trefoilbend/balancing/subset.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "internal/rendezvous.h"

namespace trefoilbend::balancing {

namespace {

/** Target with its rendezvous weight for this entry. */
struct Ranked {
  std::uint64_t weight;
  TargetTable::Member* member;
};

void MarkPreferred(std::vector<Ranked>& targets) {
  std::sort(targets.begin(), targets.end(),
            [](const Ranked& a, const Ranked& b) {
              return std::pair{b.weight, a.member->instance.name} <
                     std::pair{a.weight, b.member->instance.name};
            });
  const auto first_remote = std::stable_partition(
      targets.begin(), targets.end(),
      [](const Ranked& target) { return !target.member->remote; });
  const auto local_count =
      static_cast<std::size_t>(first_remote - targets.begin());
  const std::size_t local_quota = std::max(
      std::min(local_count, kSubsetSize / 2),
      kSubsetSize - std::min(kSubsetSize, targets.size() - local_count));
  const auto rest = targets.begin() + static_cast<std::ptrdiff_t>(local_quota);
  std::rotate(rest, first_remote, targets.end());
  for (std::size_t index = 0; index < kSubsetSize; ++index) {
    targets[index].member->preferred = true;
  }
}

}  // namespace

void MarkPreferredSubset(std::vector<TargetTable::Member>& members,
                         const core::InstanceName& self) {
  std::map<core::VersionName, std::vector<Ranked>> versions;
  for (TargetTable::Member& member : members) {
    member.preferred = false;
    if (member.usable) {
      versions[member.Calls()].push_back(
          {internal::RendezvousWeight(member.instance.name, self), &member});
    }
  }
  for (auto& [version, targets] : versions) {
    if (targets.size() > kSubsetSize) {
      MarkPreferred(targets);
      continue;
    }
    for (const Ranked& target : targets) {
      target.member->preferred = true;
    }
  }
}

}  // namespace trefoilbend::balancing
