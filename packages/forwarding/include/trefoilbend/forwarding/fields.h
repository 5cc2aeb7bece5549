#ifndef TREFOILBEND_FORWARDING_FIELDS_H_
#define TREFOILBEND_FORWARDING_FIELDS_H_

#include <string_view>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::forwarding {

/** @brief Header field in which an entry tells what is known of a refused
 * call's run. */
inline constexpr std::string_view kOutcomeField = "Trefoilbend-Outcome";

/** @brief Header field in which an entry tells why a call was refused. */
inline constexpr std::string_view kReasonField = "Trefoilbend-Reason";

/**
 * @brief Tells whether only entries may say a header field; callers trust it as
 * a promise.
 * @param name Name of the field, in any case.
 * @return True if the field of a target's answer is not passed on.
 */
[[nodiscard]] bool IsEntryField(std::string_view name) noexcept;

/**
 * @brief Tells whether a header field concerns one connection only (RFC 9110,
 * section 7.6.1).
 * @param name Name of the field, in any case.
 * @return True if the field is not passed on.
 */
[[nodiscard]] bool IsHopByHop(std::string_view name) noexcept;

/**
 * @brief Tells for how long an idle connection is kept, so that this side
 * closes it before the server does.
 * @param value Value of the Keep-Alive field; empty if there is none.
 * @return A part of the time that the server grants, or the greatest duration
 * if it names none.
 */
[[nodiscard]] core::Duration KeepAliveOf(std::string_view value) noexcept;

}  // namespace trefoilbend::forwarding

#endif  // TREFOILBEND_FORWARDING_FIELDS_H_
