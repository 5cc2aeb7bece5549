#ifndef TREFOILBEND_FORWARDING_INTERNAL_TEXT_VIEW_H_
#define TREFOILBEND_FORWARDING_INTERNAL_TEXT_VIEW_H_

#include <boost/beast/core/string_type.hpp>
#include <string_view>

namespace trefoilbend::forwarding::internal {

/**
 * @brief Converts Beast's view of a text to that of the standard library.
 * @param text The text.
 * @return View of the same text.
 */
[[nodiscard]] inline std::string_view View(
    const boost::beast::string_view text) noexcept {
  return {text.data(), text.size()};
}

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_TEXT_VIEW_H_
