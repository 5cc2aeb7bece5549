#include "trefoilbend/rollout/brisk_ladder.h"

#include <algorithm>
#include <array>

#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::rollout {

const BriskStep& BriskStepAfter(const std::uint32_t share) noexcept {
  static constexpr std::array<BriskStep, 5> kLadder{
      {{.after = 0, .share = 60, .watch_percent = 6},
       {.after = 60, .share = 200, .watch_percent = 32},
       {.after = 200, .share = 450, .watch_percent = 10},
       {.after = 450, .share = inventory::kWholeShare, .watch_percent = 10},
       {.after = inventory::kWholeShare,
        .share = inventory::kWholeShare,
        .watch_percent = 10}}};
  const auto* const step =
      std::find_if(kLadder.begin(), kLadder.end(),
                   [&](const BriskStep& one) { return one.after >= share; });
  return step == kLadder.end() ? kLadder.back() : *step;
}

}  // namespace trefoilbend::rollout
