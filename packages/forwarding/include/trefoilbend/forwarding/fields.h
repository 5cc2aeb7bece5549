#ifndef TREFOILBEND_FORWARDING_FIELDS_H_
#define TREFOILBEND_FORWARDING_FIELDS_H_

#include <string_view>

namespace trefoilbend::forwarding {

/**
 * @brief Tells whether a header field concerns one connection only (RFC 9110,
 * section 7.6.1).
 * @param name Name of the field, in any case.
 * @return True if the field is not passed on.
 */
[[nodiscard]] bool IsHopByHop(std::string_view name) noexcept;

}  // namespace trefoilbend::forwarding

#endif  // TREFOILBEND_FORWARDING_FIELDS_H_
