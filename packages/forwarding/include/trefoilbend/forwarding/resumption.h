#ifndef TREFOILBEND_FORWARDING_RESUMPTION_H_
#define TREFOILBEND_FORWARDING_RESUMPTION_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "trefoilbend/core/call.h"
#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::forwarding {

/** @brief The part of a body that an answer with status 206 holds. */
struct ContentRange {
  /** @brief Position of the first byte. */
  std::uint64_t first{};
  /** @brief Position of the last byte. */
  std::uint64_t last{};
  /** @brief Length of the whole body in bytes. */
  std::uint64_t length{};
};

/**
 * @brief Reads the Content-Range field (RFC 9110, section 14.4).
 * @param value Value of the field.
 * @return The range, or nothing if it is malformed or the length is not told.
 */
[[nodiscard]] std::optional<ContentRange> ParseContentRange(
    std::string_view value);

/**
 * @brief Tells from where an answer could go on if it broke.
 * @param request Request that is answered.
 * @param head Beginning of the answer.
 * @return A point with the answer's validator and no bytes passed on, or
 * nothing if the answer cannot go on: only a whole answer to an idempotent GET
 * with a strong validator can.
 */
[[nodiscard]] std::optional<ResumePoint> ResumptionOf(
    const core::CallRequest& request, const core::AnswerHead& head);

/**
 * @brief Tells whether an answer is the rest of a body.
 * @param point Where the body broke.
 * @param head Beginning of the answer to the request for the rest.
 * @return True if it has the same validator and holds all that is missing.
 */
[[nodiscard]] bool Continues(const ResumePoint& point,
                             const core::AnswerHead& head);

}  // namespace trefoilbend::forwarding

#endif  // TREFOILBEND_FORWARDING_RESUMPTION_H_
