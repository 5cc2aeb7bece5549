#include "trefoilbend/rollout/evidence.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace trefoilbend::rollout {

namespace {

constexpr double kQuantile = 0.95;
constexpr double kStep = 0.1;
constexpr double kFirstStep = 0.5;
constexpr double kSlowFactor = 1.25;
constexpr std::uint32_t kWarmUpCalls = 20;

double LogOf(const core::Duration latency) noexcept {
  const double nanoseconds = static_cast<double>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(latency).count());
  return std::log(std::max(1.0, nanoseconds));
}

StratumKey KeyOf(const Observation& observation) {
  return {.route = observation.route, .data_centre = observation.data_centre};
}

void MergeTargets(std::map<core::InstanceName, Tally>& into,
                  const std::map<core::InstanceName, Tally>& other) {
  for (const auto& [target, tally] : other) {
    into[target] += tally;
  }
}

}  // namespace

Tally& Tally::operator+=(const Tally& other) noexcept {
  this->calls += other.calls;
  this->failed += other.failed;
  this->timed += other.timed;
  this->slow += other.slow;
  return *this;
}

void Merge(Stratum& into, const Stratum& other) {
  MergeTargets(into.old_targets, other.old_targets);
  MergeTargets(into.new_targets, other.new_targets);
}

void Merge(Window& into, const Window& other) {
  for (const auto& [key, stratum] : other) {
    Merge(into[key], stratum);
  }
}

void Evidence::Add(const Observation& observation) {
  if (observation.ending == Ending::kGivenUp) {
    (void)this->AddIfSlow(observation);
    return;
  }
  const bool failed = observation.ending == Ending::kFailed;
  const bool slow =
      !failed && !observation.untimed && this->IsSlow(observation);
  Tally& tally = this->TallyOf(observation);
  ++tally.calls;
  tally.failed += failed ? 1 : 0;
  tally.timed += observation.untimed ? 0 : 1;
  tally.slow += slow ? 1 : 0;
  this->Learn(observation);
}

bool Evidence::AddIfSlow(const Observation& observation) {
  if (observation.untimed || !this->IsSlow(observation)) {
    return false;
  }
  Tally& tally = this->TallyOf(observation);
  ++tally.calls;
  ++tally.timed;
  ++tally.slow;
  return true;
}

void Evidence::Learn(const Observation& observation) {
  if (observation.untimed || observation.arm != Arm::kOld ||
      observation.ending != Ending::kAnswered) {
    return;
  }
  const double latency = LogOf(observation.latency);
  Percentile& percentile = this->percentiles[KeyOf(observation)];
  if (percentile.seen == 0) {
    percentile.log_latency = latency;
  }
  const double step = percentile.seen >= kWarmUpCalls ? kStep : kFirstStep;
  percentile.log_latency += latency > percentile.log_latency
                                ? step * kQuantile
                                : -step * (1 - kQuantile);
  percentile.seen = std::min(percentile.seen + 1, kWarmUpCalls);
}

Window Evidence::Take() { return std::exchange(this->window, {}); }

Tally& Evidence::TallyOf(const Observation& observation) {
  Stratum& stratum = this->window[KeyOf(observation)];
  auto& targets =
      observation.arm == Arm::kNew ? stratum.new_targets : stratum.old_targets;
  return targets[observation.target];
}

bool Evidence::IsSlow(const Observation& observation) const {
  if (observation.ending == Ending::kOvertaken) {
    return true;
  }
  if (observation.objective > core::Duration::zero() &&
      observation.latency > observation.limit_factor * observation.objective) {
    return true;
  }
  const auto percentile = this->percentiles.find(KeyOf(observation));
  return percentile != this->percentiles.end() &&
         percentile->second.seen >= kWarmUpCalls &&
         LogOf(observation.latency) >
             percentile->second.log_latency +
                 std::log(kSlowFactor * observation.limit_factor);
}

}  // namespace trefoilbend::rollout
