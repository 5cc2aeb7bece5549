#include "trefoilbend/rollout/brakes.h"

namespace trefoilbend::rollout {

bool Brakes::Add(const ReleaseId& release, const std::string& why) {
  return this->reasons.try_emplace(release, why).second;
}

Brakes::Reasons Brakes::Merge(const Reasons& peer) {
  Reasons fresh;
  for (const auto& [release, why] : peer) {
    if (this->Add(release, why)) {
      fresh.emplace(release, why);
    }
  }
  return fresh;
}

void Brakes::Prune(const inventory::Configuration& configuration) {
  std::erase_if(this->reasons, [&](const auto& brake) {
    const auto* release =
        configuration.Find<inventory::Release>(brake.first.service.Text());
    return release != nullptr && release->begun > brake.first.begun;
  });
}

}  // namespace trefoilbend::rollout
