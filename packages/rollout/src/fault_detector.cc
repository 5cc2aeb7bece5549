#include "trefoilbend/rollout/fault_detector.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace trefoilbend::rollout {

namespace {

constexpr std::uint32_t kCallsOfComparison = 8;
constexpr std::chrono::seconds kScatterTime{5};
constexpr double kScatterWeight = 0.05;
constexpr double kFirstDispersion = 1.0;
constexpr double kGreatestDispersion = 20;
constexpr double kDoubtOfProof = 0.5;
constexpr double kProofAlone = 10;

struct KindOfEvent {
  FaultKind kind;
  std::uint32_t Tally::*event;
  /** Evidence that is a proof, in natural logarithms. */
  double proof;
};

constexpr std::array<KindOfEvent, 2> kKinds{
    {{FaultKind::kFails, &Tally::failed, 6},
     {FaultKind::kSlow, &Tally::slow, 10}}};

/** Part of the proof that a finding has reached. */
double PartOfProof(const Finding& finding) noexcept {
  return finding.strength /
         kKinds.at(static_cast<std::size_t>(finding.kind)).proof;
}

Tally Sum(const std::map<core::InstanceName, Tally>& targets) noexcept {
  Tally sum;
  for (const auto& [target, tally] : targets) {
    sum += tally;
  }
  return sum;
}

/** Pearson's chi-square of the events of the targets, over its freedom. */
std::optional<double> Scatter(
    const std::map<core::InstanceName, Tally>& targets,
    std::uint32_t Tally::*event) noexcept {
  const Tally sum = Sum(targets);
  if (targets.size() < 2 || sum.*event == 0 || sum.*event == sum.calls) {
    return std::nullopt;
  }
  const double rate = static_cast<double>(sum.*event) / sum.calls;
  double chi_square = 0;
  for (const auto& [target, tally] : targets) {
    const double difference = tally.*event - tally.calls * rate;
    chi_square += difference * difference / (tally.calls * rate * (1 - rate));
  }
  return chi_square / static_cast<double>(targets.size() - 1);
}

}  // namespace

std::string ToString(const Finding& finding) {
  const std::string what = finding.kind == FaultKind::kFails
                               ? "calls fail more often than on the old version"
                               : "calls are slower than on the old version";
  return finding.route.Empty() ? what
                               : what + " on route " + finding.route.Text();
}

bool Finding::IsProof() const noexcept { return PartOfProof(*this) >= 1; }

bool Finding::IsProofAlone() const noexcept {
  return this->strength >= kProofAlone;
}

bool Finding::IsDoubt() const noexcept {
  return PartOfProof(*this) >= kDoubtOfProof;
}

void FaultDetector::Observe(const Window& window, const core::TimePoint now) {
  for (const auto& [key, stratum] : window) {
    Open& known = this->open[key];
    Merge(known.test, stratum);
    Merge(known.scatter, stratum);
    const std::uint32_t new_calls = Sum(known.test.new_targets).calls;
    const std::uint32_t old_calls = Sum(known.test.old_targets).calls;
    if (new_calls > 0 && old_calls > 0 &&
        new_calls + old_calls >= kCallsOfComparison) {
      this->Close(key.route, std::exchange(known.test, {}));
    }
    if (now - known.scatter_since >= kScatterTime) {
      known.scatter_since = now;
      this->MeasureScatter(key.route, std::exchange(known.scatter, {}));
    }
  }
}

std::optional<Finding> FaultDetector::Strongest() const {
  std::optional<Finding> strongest;
  for (const auto& [key, tests] : this->tests) {
    double strength = tests.all_targets.Strength();
    if (tests.without.size() > 1) {
      for (const auto& [target, test] : tests.without) {
        strength = std::min(strength, test.Strength());
      }
    }
    const Finding finding{
        .kind = key.kind, .route = key.route, .strength = strength};
    if (strength > 0 &&
        (!strongest || PartOfProof(finding) > PartOfProof(*strongest))) {
      strongest = finding;
    }
  }
  return strongest;
}

void FaultDetector::Close(const core::RouteName& route,
                          const Stratum& stratum) {
  for (const KindOfEvent& one : kKinds) {
    const Key key{.kind = one.kind, .route = route};
    const auto known = this->dispersions.try_emplace(key, kFirstDispersion);
    const double dispersion =
        std::clamp(known.first->second, 1.0, kGreatestDispersion);
    this->Test(key, one.event, stratum, dispersion);
    this->Test({.kind = one.kind, .route = {}}, one.event, stratum, dispersion);
  }
}

void FaultDetector::Test(const Key& key, const Event event,
                         const Stratum& stratum, const double dispersion) {
  Tests& known = this->tests[key];
  const Tally old_sum = Sum(stratum.old_targets);
  const Tally new_sum = Sum(stratum.new_targets);
  const Comparison all{.new_calls = new_sum.calls,
                       .new_events = new_sum.*event,
                       .old_calls = old_sum.calls,
                       .old_events = old_sum.*event};
  for (const auto& [target, tally] : stratum.new_targets) {
    known.without.try_emplace(target, known.all_targets);
  }
  known.all_targets.Add(all, dispersion);
  for (auto& [target, test] : known.without) {
    const auto own = stratum.new_targets.find(target);
    Comparison rest = all;
    if (own != stratum.new_targets.end()) {
      rest.new_calls -= own->second.calls;
      rest.new_events -= own->second.*event;
    }
    test.Add(rest, dispersion);
  }
}

void FaultDetector::MeasureScatter(const core::RouteName& route,
                                   const Stratum& stratum) {
  for (const KindOfEvent& one : kKinds) {
    if (const auto scatter = Scatter(stratum.old_targets, one.event)) {
      double& dispersion =
          this->dispersions
              .try_emplace({.kind = one.kind, .route = route}, kFirstDispersion)
              .first->second;
      dispersion += kScatterWeight * (*scatter - dispersion);
    }
  }
}

}  // namespace trefoilbend::rollout
