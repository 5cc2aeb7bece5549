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
  const auto arm = this->ArmOf(*target);
  if (!arm) {
    return;
  }
  entry->second.evidence.Add({.route = exchange.route,
                              .data_centre = target->data_centre,
                              .target = exchange.target,
                              .arm = *arm,
                              .failed = exchange.failed,
                              .cold = exchange.cold,
                              .latency = exchange.latency});
}

std::optional<Arm> EvidenceBook::ArmOf(
    const inventory::Instance& target) const {
  const inventory::Service& service =
      *this->configuration->Services().at(target.service).service;
  const auto* release =
      this->configuration->Find<inventory::Release>(target.service.Text());
  if (target.version == release->version) {
    return Arm::kNew;
  }
  const inventory::VersionRoles roles{service, release};
  return roles.CallsOf(target.version) == service.version
             ? std::optional{Arm::kOld}
             : std::nullopt;
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
