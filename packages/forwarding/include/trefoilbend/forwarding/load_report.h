#ifndef TREFOILBEND_FORWARDING_LOAD_REPORT_H_
#define TREFOILBEND_FORWARDING_LOAD_REPORT_H_

#include <optional>
#include <string_view>

#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::forwarding {

/** @brief Header field in which targets report their load (ORCA, xDS). */
inline constexpr std::string_view kLoadField = "Endpoint-Load-Metrics";

/**
 * @brief Reads a load report of ORCA's JSON form: JSON {"named_metrics":
 * {...}}.
 * @param value Value of the header field.
 * @return The report, or nothing if it is malformed or impossible.
 */
[[nodiscard]] std::optional<LoadReport> ParseLoadReport(std::string_view value);

}  // namespace trefoilbend::forwarding

#endif  // TREFOILBEND_FORWARDING_LOAD_REPORT_H_
