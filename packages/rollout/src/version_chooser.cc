#include "trefoilbend/rollout/version_chooser.h"

#include <utility>

namespace trefoilbend::rollout {

void VersionChooser::Configure(const inventory::Configuration& configuration) {
  std::map<core::ServiceName, Split> next;
  for (const auto& [name, view] : configuration.Services()) {
    Split split{.stable = view.service->version, .release = {}};
    const auto* release = configuration.Find<inventory::Release>(name.Text());
    if (release != nullptr && IsUnderWay(*release)) {
      split.release = IdOf(*release);
      split.share = release->share;
      if (this->braked.contains(split.release)) {
        split.share = 0;
      }
    }
    const auto known = this->splits.find(name);
    if (known != this->splits.end() && known->second.release == split.release) {
      split.credit = known->second.credit;
    }
    next.emplace(name, std::move(split));
  }
  this->splits = std::move(next);
  std::erase_if(this->braked, [&](const ReleaseId& brake) {
    const auto* release =
        configuration.Find<inventory::Release>(brake.service.Text());
    return release != nullptr && release->begun > brake.begun;
  });
}

void VersionChooser::Brake(const ReleaseId& release) {
  this->braked.insert(release);
  const auto split = this->splits.find(release.service);
  if (split != this->splits.end() && split->second.release == release) {
    split->second.share = 0;
  }
}

core::VersionName VersionChooser::Choose(const core::ServiceName& service) {
  const auto found = this->splits.find(service);
  if (found == this->splits.end()) {
    return {};
  }
  Split& split = found->second;
  if (split.share == 0) {
    return split.stable;
  }
  split.credit += split.share;
  if (split.credit < inventory::kWholeShare) {
    return split.stable;
  }
  split.credit -= inventory::kWholeShare;
  return split.release.version;
}

core::VersionName VersionChooser::Stable(
    const core::ServiceName& service) const {
  const auto found = this->splits.find(service);
  return found == this->splits.end() ? core::VersionName{}
                                     : found->second.stable;
}

bool VersionChooser::Serves(const core::ServiceName& service,
                            const core::VersionName& version) const {
  const auto found = this->splits.find(service);
  if (found == this->splits.end()) {
    return false;
  }
  const Split& split = found->second;
  return version == split.stable ||
         (split.share > 0 && version == split.release.version);
}

}  // namespace trefoilbend::rollout
