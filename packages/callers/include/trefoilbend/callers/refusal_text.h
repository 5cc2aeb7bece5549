#ifndef TREFOILBEND_CALLERS_REFUSAL_TEXT_H_
#define TREFOILBEND_CALLERS_REFUSAL_TEXT_H_

#include <string>

#include "trefoilbend/core/call.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::callers {

/**
 * @brief Writes a refusal as a response with a problem document (RFC 9457).
 * @param refusal Refusal to write.
 * @return The response.
 */
[[nodiscard]] http::Response ToResponse(const core::Refusal& refusal);

}  // namespace trefoilbend::callers

#endif  // TREFOILBEND_CALLERS_REFUSAL_TEXT_H_
