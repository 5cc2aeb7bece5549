#include "trefoilbend/callers/stop_plan.h"

#include <algorithm>

namespace trefoilbend::callers {

namespace {

/** One part in so many of the grace is kept for sending the last answers and
 * ending the process. */
constexpr int kPartsOfGrace = 12;

}  // namespace

void StopPlan::Begin(const core::TimePoint now) {
  this->begun = true;
  this->serves_until = now + this->times.serve;
  if (this->times.grace) {
    this->answers_until =
        now + *this->times.grace - *this->times.grace / kPartsOfGrace;
    this->serves_until = std::min(this->serves_until, this->answers_until);
  }
}

}  // namespace trefoilbend::callers
