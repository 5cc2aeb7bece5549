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

std::uint32_t WarmUp::Allowed(const ColdShare& share, const std::uint32_t limit,
                              const core::TimePoint now) const noexcept {
  if (!this->cold) {
    return limit;
  }
  const bool tries = now - this->since >= kFirstTrial + kTrialGap * share.rank;
  const std::uint32_t base = share.calls == 0 && tries ? 1 : share.calls;
  return std::min(limit, base << (this->good_answers / kAnswersToDouble));
}

}  // namespace trefoilbend::balancing
