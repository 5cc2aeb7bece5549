#include "trefoilbend/balancing/warm_up.h"

#include <algorithm>
#include <chrono>

namespace trefoilbend::balancing {

namespace {

constexpr std::uint32_t kAnswersToDouble = 8;
constexpr std::uint32_t kDoublingsToWarm = 5;
/** Time after which an entry without a share tries a cold target. */
constexpr std::chrono::seconds kFirstTrial{5};
/** Time between the trials of two entries. */
constexpr std::chrono::milliseconds kTrialGap{250};

}  // namespace

void WarmUp::Chill(const core::TimePoint now) noexcept {
  this->cold = true;
  this->checked = false;
  this->since = now;
  this->good_answers = 0;
}

void WarmUp::AddGoodAnswer() noexcept {
  if (!this->cold) {
    return;
  }
  ++this->good_answers;
  this->cold = this->good_answers < kAnswersToDouble * kDoublingsToWarm;
}

bool WarmUp::MayBegin(const ColdShare& share, const WarmthTrial trial,
                      const core::TimePoint now) const noexcept {
  return trial == WarmthTrial::kHealthCheck
             ? this->checked
             : now - this->since >= kFirstTrial + kTrialGap * share.rank;
}

std::uint32_t WarmUp::Allowed(const ColdShare& share, const std::uint32_t limit,
                              const WarmthTrial trial,
                              const core::TimePoint now) const noexcept {
  if (!this->cold) {
    return limit;
  }
  const bool begins = share.calls == 0 && this->MayBegin(share, trial, now);
  const std::uint32_t base = begins ? 1 : share.calls;
  return std::min(limit, base << (this->good_answers / kAnswersToDouble));
}

}  // namespace trefoilbend::balancing
