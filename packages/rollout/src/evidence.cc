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
  if (observation.cold) {
    return;
  }
  const StratumKey key{.route = observation.route,
                       .data_centre = observation.data_centre};
  Stratum& stratum = this->window[key];
  auto& targets =
      observation.arm == Arm::kNew ? stratum.new_targets : stratum.old_targets;
  Tally& tally = targets[observation.target];
  ++tally.calls;
  if (observation.failed) {
    ++tally.failed;
    return;
  }
  if (this->IsSlow(observation, this->percentiles[key])) {
    ++tally.slow;
  }
}

Window Evidence::Take() { return std::exchange(this->window, {}); }

bool Evidence::IsSlow(const Observation& observation,
                      Percentile& percentile) const noexcept {
  const double latency = LogOf(observation.latency);
  const bool known = percentile.seen >= kWarmUpCalls;
  const bool slow =
      known && latency > percentile.log_latency + std::log(kSlowFactor);
  if (observation.arm == Arm::kOld) {
    if (percentile.seen == 0) {
      percentile.log_latency = latency;
    }
    const double step = known ? kStep : kFirstStep;
    percentile.log_latency += latency > percentile.log_latency
                                  ? step * kQuantile
                                  : -step * (1 - kQuantile);
    percentile.seen = std::min(percentile.seen + 1, kWarmUpCalls);
  }
  return slow;
}

}  // namespace trefoilbend::rollout
