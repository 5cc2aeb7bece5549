#ifndef TREFOILBEND_CALLERS_REFUSAL_TEXT_H_
#define TREFOILBEND_CALLERS_REFUSAL_TEXT_H_

#include <string>
#include <string_view>

#include "trefoilbend/core/call.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::callers {

/** @brief Header field that tells what is known of a refused call's run. */
inline constexpr std::string_view kOutcomeField = "Trefoilbend-Outcome";

/** @brief Header field that tells why a call was refused. */
inline constexpr std::string_view kReasonField = "Trefoilbend-Reason";

/**
 * @brief Writes a refusal as a response with a problem document (RFC 9457).
 * @param refusal Refusal to write.
 * @return The response.
 */
[[nodiscard]] http::Response ToResponse(const core::Refusal& refusal);

}  // namespace trefoilbend::callers

#endif  // TREFOILBEND_CALLERS_REFUSAL_TEXT_H_
