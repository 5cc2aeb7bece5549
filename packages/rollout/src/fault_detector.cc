#include "trefoilbend/rollout/fault_detector.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <utility>

namespace trefoilbend::rollout {

namespace {

constexpr std::uint32_t kCallsOfComparison = 8;
/** Time after which fewer calls are compared. */
constexpr std::chrono::milliseconds kTimeOfComparison{500};
constexpr std::chrono::seconds kScatterTime{5};
constexpr double kScatterWeight = 0.05;
constexpr double kFirstDispersion = 1.0;
constexpr double kGreatestDispersion = 20;
constexpr double kDoubtOfProof = 0.5;
constexpr double kProofAlone = 10;
/** Greatest weight of the evidence that is left without one target, which may
 * have most of the calls when two are active. */
constexpr double kMostWeightOfOthers = 3;
/** Calls to the new version that count as recent. */
constexpr double kRecentCalls = 32;
/** Weight of the evidence within data centres, where a version with few targets
 * has few calls to be compared with. */
constexpr double kWeightWithinDataCentres = 3;

struct KindOfEvent {
  FaultKind kind;
  /** The events, and the calls on which they could have come. */
  EventCount count;
  /** Evidence that is a proof, in natural logarithms. */
  double proof;
};

constexpr std::array<KindOfEvent, 2> kKinds{
    {{FaultKind::kFails, {.events = &Tally::failed, .calls = &Tally::calls}, 6},
     {FaultKind::kSlow, {.events = &Tally::slow, .calls = &Tally::timed}, 10}}};

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
    const EventCount& count) noexcept {
  const Tally sum = Sum(targets);
  const std::uint32_t events = sum.*count.events;
  const std::uint32_t calls = sum.*count.calls;
  if (events == 0 || events == calls) {
    return std::nullopt;
  }
  const double rate = static_cast<double>(events) / calls;
  double chi_square = 0;
  std::size_t counted = 0;
  for (const auto& [target, tally] : targets) {
    const std::uint32_t own = tally.*count.calls;
    if (own == 0) {
      continue;
    }
    const double difference = tally.*count.events - own * rate;
    chi_square += difference * difference / (own * rate * (1 - rate));
    ++counted;
  }
  return counted < 2
             ? std::nullopt
             : std::optional{chi_square / static_cast<double>(counted - 1)};
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

std::optional<Stratum> FaultDetector::Comparable::TakeIfDue(
    const core::TimePoint now) {
  const std::uint32_t new_calls = Sum(this->stratum.new_targets).calls;
  const std::uint32_t old_calls = Sum(this->stratum.old_targets).calls;
  if (new_calls == 0 || old_calls == 0) {
    return std::nullopt;
  }
  this->since = this->since.value_or(now);
  if (new_calls + old_calls < kCallsOfComparison &&
      now - *this->since < kTimeOfComparison) {
    return std::nullopt;
  }
  this->since.reset();
  return std::exchange(this->stratum, {});
}

double FaultDetector::Tests::Strength() const {
  double strength = std::max(
      this->all_targets.Strength(),
      std::min(this->across.Strength(),
               kWeightWithinDataCentres * this->all_targets.Strength()));
  if (this->without.size() > 1) {
    for (const auto& [target, others] : this->without) {
      strength =
          std::min(strength, this->WeightOf(others) * others.test.Strength());
    }
  }
  return strength;
}

double FaultDetector::Tests::WeightOf(const Others& others) const {
  const double rest = this->recent_calls - others.left_out_calls;
  return rest * kMostWeightOfOthers <= this->recent_calls
             ? kMostWeightOfOthers
             : this->recent_calls / rest;
}

void FaultDetector::Observe(const Window& window, const core::TimePoint now) {
  for (const auto& [key, stratum] : window) {
    Open& known = this->open[key];
    Merge(known.test.stratum, stratum);
    Merge(known.scatter, stratum);
    if (const auto due = known.test.TakeIfDue(now)) {
      this->Close(key.route, *due, Scope::kDataCentre);
    }
    if (now - known.scatter_since >= kScatterTime) {
      known.scatter_since = now;
      this->MeasureScatter(key.route, std::exchange(known.scatter, {}));
    }
    Merge(this->open_across[key.route].stratum, stratum);
  }
  for (auto& [route, comparable] : this->open_across) {
    if (const auto due = comparable.TakeIfDue(now)) {
      this->Close(route, *due, Scope::kAllDataCentres);
    }
  }
}

std::optional<Finding> FaultDetector::Strongest() const {
  std::optional<Finding> strongest;
  for (const auto& [key, tests] : this->tests) {
    const Finding finding{
        .kind = key.kind, .route = key.route, .strength = tests.Strength()};
    if (finding.strength > 0 &&
        (!strongest || PartOfProof(finding) > PartOfProof(*strongest))) {
      strongest = finding;
    }
  }
  return strongest;
}

void FaultDetector::Close(const core::RouteName& route, const Stratum& stratum,
                          const Scope scope) {
  for (const KindOfEvent& one : kKinds) {
    const Key key{.kind = one.kind, .route = route};
    const auto known = this->dispersions.try_emplace(key, kFirstDispersion);
    const double dispersion =
        std::clamp(known.first->second, 1.0, kGreatestDispersion);
    this->Test(key, one.count, stratum, dispersion, scope);
    this->Test({.kind = one.kind, .route = {}}, one.count, stratum, dispersion,
               scope);
  }
}

void FaultDetector::Test(const Key& key, const EventCount& count,
                         const Stratum& stratum, const double dispersion,
                         const Scope scope) {
  Tests& known = this->tests[key];
  const Tally old_sum = Sum(stratum.old_targets);
  const Tally new_sum = Sum(stratum.new_targets);
  const Comparison all{.new_calls = new_sum.*count.calls,
                       .new_events = new_sum.*count.events,
                       .old_calls = old_sum.*count.calls,
                       .old_events = old_sum.*count.events};
  if (scope == Scope::kDataCentre) {
    known.all_targets.Add(all, dispersion);
    return;
  }
  for (const auto& [target, tally] : stratum.new_targets) {
    known.without.try_emplace(target, Others{.test = known.across});
  }
  known.across.Add(all, dispersion);
  const double kept = std::exp(-1.0 * all.new_calls / kRecentCalls);
  known.recent_calls = known.recent_calls * kept + all.new_calls;
  for (auto& [target, others] : known.without) {
    const auto own = stratum.new_targets.find(target);
    Comparison rest = all;
    if (own != stratum.new_targets.end()) {
      rest.new_calls -= own->second.*count.calls;
      rest.new_events -= own->second.*count.events;
    }
    others.left_out_calls =
        others.left_out_calls * kept + (all.new_calls - rest.new_calls);
    others.test.Add(rest, dispersion);
  }
}

void FaultDetector::MeasureScatter(const core::RouteName& route,
                                   const Stratum& stratum) {
  for (const KindOfEvent& one : kKinds) {
    if (const auto scatter = Scatter(stratum.old_targets, one.count)) {
      double& dispersion =
          this->dispersions
              .try_emplace({.kind = one.kind, .route = route}, kFirstDispersion)
              .first->second;
      dispersion += kScatterWeight * (*scatter - dispersion);
    }
  }
}

}  // namespace trefoilbend::rollout
