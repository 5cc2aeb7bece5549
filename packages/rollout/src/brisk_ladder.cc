#include "trefoilbend/rollout/brisk_ladder.h"

#include <algorithm>
#include <chrono>

#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::rollout {

namespace {

using inventory::kWholeShare;

/** Bounds of the first share. */
constexpr std::uint32_t kLeastFirstShare = 60;
constexpr std::uint32_t kMostFirstShare = 240;
constexpr std::uint32_t kMostLoadedShare = 333;
/** Targets that get their usual load at the second share. */
constexpr std::uint32_t kLoadedTargets = 2;
constexpr std::uint32_t kLargeShare = 450;
/** Parts of the release's time, in percent. */
constexpr int kBeforeFirstPercent = 2;
constexpr int kLongestBeforeFirstPercent = 8;
/** Time in which the first share brings the calls to judge by; it lasts longer
 * where the other shares leave more. */
constexpr int kFirstWatchPercent = 27;
constexpr int kLoadedWatchPercent = 14;
constexpr int kWatchPercent = 8;
constexpr int kLongestWatchPercent = 36;
/** Part that is left for what may hold a release, as the loss of its
 * controller. */
constexpr int kReservePercent = 20;
/** Part of the release's calls that a doubtful version may have, beside those
 * that it takes to judge it. */
constexpr int kMostPercentInDoubt = 10;

}  // namespace

core::Duration BriskLadder::Part(const int percent) const noexcept {
  return this->release.whole * percent / 100;
}

std::uint32_t BriskLadder::LoadedShare() const noexcept {
  const auto targets = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, this->release.targets));
  return std::clamp(kLoadedTargets * kWholeShare / targets, kLeastLoadedShare,
                    kMostLoadedShare);
}

std::uint32_t BriskLadder::FirstShare() const noexcept {
  if (!this->release.calls_per_second) {
    return kLeastFirstShare;
  }
  const std::chrono::duration<double> watch = this->Part(kFirstWatchPercent);
  const double calls =
      std::max(1.0, *this->release.calls_per_second * watch.count());
  return std::clamp(
      static_cast<std::uint32_t>(kCallsToShow * kWholeShare / calls),
      kLeastFirstShare, kMostFirstShare);
}

bool BriskLadder::ShowsFaultsAtLargeShare() const noexcept {
  const std::chrono::duration<double> watch = this->LeastWatch(kLargeShare);
  return !this->release.calls_per_second ||
         *this->release.calls_per_second * watch.count() * kLargeShare >=
             kCallsToShow * kWholeShare;
}

std::uint32_t BriskLadder::ShareAfter(
    const std::uint32_t share) const noexcept {
  if (share == 0) {
    return this->FirstShare();
  }
  if (share < kLeastLoadedShare) {
    return this->LoadedShare();
  }
  return share < kLargeShare && this->ShowsFaultsAtLargeShare() ? kLargeShare
                                                                : kWholeShare;
}

core::Duration BriskLadder::LeastWatch(
    const std::uint32_t share) const noexcept {
  if (share == 0) {
    return this->Part(kBeforeFirstPercent);
  }
  const core::Duration least = share == kWholeShare ? kDrainOfOld : kLeastWatch;
  return std::max(
      this->Part(this->EndsWithEnoughCalls(share) ? kLoadedWatchPercent
                                                  : kWatchPercent),
      least);
}

core::Duration BriskLadder::PlannedWatch(
    const std::uint32_t share) const noexcept {
  const core::Duration least = this->LeastWatch(share);
  if (!this->EndsWithEnoughCalls(share) || !this->release.calls_per_second) {
    return least;
  }
  const std::chrono::duration<double> needed{
      kCallsToShowUnderLoad * static_cast<double>(kWholeShare) /
      (*this->release.calls_per_second * share)};
  const std::chrono::duration<double> longest =
      this->Part(kLongestWatchPercent);
  return std::max(least, std::chrono::duration_cast<core::Duration>(
                             std::min(needed, longest)));
}

core::Duration BriskLadder::PlannedEnd(
    const std::uint32_t share) const noexcept {
  if (share == 0) {
    return this->Part(kLongestBeforeFirstPercent);
  }
  core::Duration end = this->Part(100 - kReservePercent);
  for (std::uint32_t later = share; later < kWholeShare;) {
    later = this->ShareAfter(later);
    end -= this->PlannedWatch(later);
  }
  return end;
}

std::uint64_t BriskLadder::MostCallsInDoubt() const noexcept {
  const std::chrono::duration<double> time = this->Part(kMostPercentInDoubt);
  const double part = this->release.calls_per_second.value_or(0) * time.count();
  return kCallsToShow + static_cast<std::uint64_t>(part);
}

bool BriskLadder::EndsWithEnoughCalls(
    const std::uint32_t share) const noexcept {
  return share >= kLeastLoadedShare && share < kLargeShare;
}

}  // namespace trefoilbend::rollout
