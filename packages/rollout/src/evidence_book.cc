#include "trefoilbend/rollout/evidence_book.h"

#include <utility>

#include "trefoilbend/rollout/brisk_ladder.h"

namespace trefoilbend::rollout {

namespace {

/** Factor on the time above which a call is slow, while the new version's calls
 * have fewer targets to choose from and so meet more that their neighbours slow
 * down. */
constexpr int kLoadedFactor = 3;

}  // namespace

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
  std::erase_if(this->open, [this](const auto& one) {
    const ReleaseId& release = one.second.release;
    const auto entry = this->entries.find(release.service);
    return entry == this->entries.end() || entry->second.release != release;
  });
  this->configuration = std::move(configuration);
}

void EvidenceBook::Begin(const ExchangeStart& exchange) {
  if (auto begun = this->OpenOf(exchange.target, exchange.route)) {
    begun->since = exchange.since;
    this->open.insert_or_assign(exchange.exchange, *std::move(begun));
  }
}

void EvidenceBook::Add(const ExchangeSummary& exchange) {
  const auto known = this->open.extract(exchange.exchange);
  auto ended = this->OpenOf(exchange.target, exchange.route);
  if (!ended) {
    return;
  }
  Observation& observation = ended->observation;
  observation.ending = exchange.ending;
  observation.untimed = exchange.untimed;
  observation.latency = exchange.latency;
  Evidence& evidence = this->entries.at(ended->release.service).evidence;
  if (!known.empty() && known.mapped().judged) {
    evidence.Learn(observation);
  } else {
    evidence.Add(observation);
  }
}

std::optional<EvidenceBook::Open> EvidenceBook::OpenOf(
    const core::InstanceName& target_name,
    const core::RouteName& route_name) const {
  if (this->entries.empty()) {
    return std::nullopt;
  }
  const auto* target =
      this->configuration->Find<inventory::Instance>(target_name.Text());
  if (target == nullptr) {
    return std::nullopt;
  }
  const auto entry = this->entries.find(target->service);
  if (entry == this->entries.end()) {
    return std::nullopt;
  }
  const auto arm = this->ArmOf(*target);
  if (!arm) {
    return std::nullopt;
  }
  const auto* route =
      this->configuration->Find<inventory::Route>(route_name.Text());
  const auto* release =
      this->configuration->Find<inventory::Release>(target->service.Text());
  const bool loads_part =
      this->loads_part_of_targets && LoadsPartOfTargets(release->share);
  return Open{
      .release = entry->second.release,
      .observation = {.route = route_name,
                      .data_centre = target->data_centre,
                      .target = target_name,
                      .arm = *arm,
                      .objective = route == nullptr ? core::Duration::zero()
                                                    : route->objective,
                      .limit_factor = loads_part ? kLoadedFactor : 1},
      .since = {}};
}

void EvidenceBook::JudgeOpen(const core::TimePoint now,
                             const IsComparable& is_comparable) {
  for (auto& [exchange, one] : this->open) {
    if (one.judged) {
      continue;
    }
    Observation observation = one.observation;
    observation.latency = now - one.since;
    observation.untimed =
        !is_comparable(one.release.service, observation.target);
    Evidence& evidence = this->entries.at(one.release.service).evidence;
    one.judged = evidence.AddIfSlow(observation);
  }
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

Windows EvidenceBook::Take(const core::TimePoint now,
                           const IsComparable& is_comparable) {
  this->JudgeOpen(now, is_comparable);
  Windows windows;
  for (auto& [name, entry] : this->entries) {
    if (Window window = entry.evidence.Take(); !window.empty()) {
      windows.emplace(entry.release, std::move(window));
    }
  }
  return windows;
}

}  // namespace trefoilbend::rollout
