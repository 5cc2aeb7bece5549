#ifndef TREFOILBEND_BALANCING_INTERNAL_REFUSALS_H_
#define TREFOILBEND_BALANCING_INTERNAL_REFUSALS_H_

#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::balancing {

/**
 * @brief Tells whether a target refused because it drains.
 * @param ended Report of the attempt.
 * @return True for such a refusal.
 */
[[nodiscard]] inline bool IsDrainingRefusal(
    const forwarding::ExchangeEnded& ended) noexcept {
  return ended.status == forwarding::kRefusalStatus && ended.load &&
         ended.load->draining;
}

/**
 * @brief Tells whether a further attempt costs the budget nothing.
 * @param ended Report of the attempt before.
 * @return True if nothing arrived, or if the target drains.
 */
[[nodiscard]] inline bool IsExemptFromBudget(
    const forwarding::ExchangeEnded& ended) noexcept {
  return ended.result == forwarding::ExchangeResult::kNotSent ||
         IsDrainingRefusal(ended);
}

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_INTERNAL_REFUSALS_H_
