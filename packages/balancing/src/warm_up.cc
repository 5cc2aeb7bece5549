#include "trefoilbend/balancing/warm_up.h"

#include <algorithm>
#include <chrono>

namespace trefoilbend::balancing {

namespace {

constexpr std::uint32_t kSuccessesPerDoubling = 8;
constexpr std::uint32_t kDoublingsUntilWarm = 5;
/** Time after which an entry without a share sends a trial call to a cold
 * target. */
constexpr std::chrono::seconds kTrialDelay{5};
/** Time between the trial calls of two entries with consecutive ranks. */
constexpr std::chrono::milliseconds kTrialStagger{250};

}  // namespace

void WarmUp::MarkCold(const core::TimePoint now) noexcept {
  this->cold = true;
  this->health_check_passed = false;
  this->cold_since = now;
  this->successes = 0;
}

void WarmUp::OnSuccess() noexcept {
  if (!this->cold) {
    return;
  }
  ++this->successes;
  this->cold = this->successes < kSuccessesPerDoubling * kDoublingsUntilWarm;
}

bool WarmUp::MayStartTrial(const ColdShare& share, const WarmUpTrial trial,
                           const core::TimePoint now) const noexcept {
  return trial == WarmUpTrial::kHealthCheck
             ? this->health_check_passed
             : now - this->cold_since >=
                   kTrialDelay + kTrialStagger * share.rank;
}

std::uint32_t WarmUp::ConcurrencyLimit(
    const ColdShare& share, const std::uint32_t limit, const WarmUpTrial trial,
    const core::TimePoint now) const noexcept {
  if (!this->cold) {
    return limit;
  }
  const bool starts_trial =
      share.calls == 0 && this->MayStartTrial(share, trial, now);
  const std::uint32_t base = starts_trial ? 1 : share.calls;
  return std::min(limit, base << (this->successes / kSuccessesPerDoubling));
}

}  // namespace trefoilbend::balancing
