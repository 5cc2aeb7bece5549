#ifndef TREFOILBEND_FORWARDING_INTERNAL_STATUS_H_
#define TREFOILBEND_FORWARDING_INTERNAL_STATUS_H_

namespace trefoilbend::forwarding::internal {

/**
 * @brief Tells whether a final answer follows (RFC 9110, section 15.2).
 * @param status Status of a head.
 * @return False for 101 too, which nothing here asks for.
 */
[[nodiscard]] constexpr bool IsInterim(const unsigned status) noexcept {
  constexpr unsigned kFirstInterim = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kLastInterim = 199;
  return status >= kFirstInterim && status <= kLastInterim &&
         status != kSwitchingProtocols;
}

/**
 * @brief Tells whether a status may end a request (RFC 9110, section 15).
 * @param status Status of a head.
 * @return False also for numbers that are no status, such as 0 and 600.
 */
[[nodiscard]] constexpr bool IsFinal(const unsigned status) noexcept {
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kLastFinal = 599;
  return status >= kFirstFinal && status <= kLastFinal;
}

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_STATUS_H_
