#ifndef TREFOILBEND_BALANCING_INTERNAL_REFUSALS_H_
#define TREFOILBEND_BALANCING_INTERNAL_REFUSALS_H_

#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::balancing {

/**
 * @brief Returns whether a target refused a request because it is draining.
 * @param ended Report of the exchange.
 * @return True for a refusal by a draining target.
 */
[[nodiscard]] inline bool IsDrainingRefusal(
    const forwarding::ExchangeEnded& ended) noexcept {
  return ended.status == forwarding::kRefusalStatus && ended.load &&
         ended.load->draining;
}

/**
 * @brief Returns whether a further attempt is exempt from the attempt budget.
 * @param ended Report of the previous exchange.
 * @return True if the request was not sent, or if a draining target refused it.
 */
[[nodiscard]] inline bool IsExemptFromBudget(
    const forwarding::ExchangeEnded& ended) noexcept {
  return ended.result == forwarding::ExchangeResult::kNotSent ||
         IsDrainingRefusal(ended);
}

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_INTERNAL_REFUSALS_H_
