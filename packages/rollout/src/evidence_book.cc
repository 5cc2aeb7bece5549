#include "trefoilbend/rollout/evidence_book.h"

#include <utility>

namespace trefoilbend::rollout {

void EvidenceBook::Configure(inventory::ConfigurationPtr configuration) {
  std::map<core::ServiceName, Entry> next;
  for (const auto& [name, view] : configuration->Services()) {
    const auto* release = configuration->Find<inventory::Release>(name.Text());
    if (release == nullptr || !IsUnderWay(*release)) {
      continue;
    }
    const ReleaseId id = IdOf(*release);
    const auto known = this->entries.find(name);
    if (known != this->entries.end() && known->second.release == id) {
      next.emplace(name, std::move(known->second));
    } else {
      next.emplace(name, Entry{.release = id, .evidence = {}});
    }
  }
  this->entries = std::move(next);
  this->configuration = std::move(configuration);
}

void EvidenceBook::Add(const ExchangeSummary& exchange) {
  if (this->entries.empty()) {
    return;
  }
  const auto* target =
      this->configuration->Find<inventory::Instance>(exchange.target.Text());
  if (target == nullptr) {
    return;
  }
  const auto entry = this->entries.find(target->service);
  if (entry == this->entries.end()) {
    return;
  }
  const bool is_new = target->version == entry->second.release.version;
  entry->second.evidence.Add({.route = exchange.route,
                              .data_centre = target->data_centre,
                              .target = exchange.target,
                              .arm = is_new ? Arm::kNew : Arm::kOld,
                              .failed = exchange.failed,
                              .cold = exchange.cold,
                              .latency = exchange.latency});
}

Windows EvidenceBook::Take() {
  Windows windows;
  for (auto& [name, entry] : this->entries) {
    if (Window window = entry.evidence.Take(); !window.empty()) {
      windows.emplace(entry.release, std::move(window));
    }
  }
  return windows;
}

}  // namespace trefoilbend::rollout
