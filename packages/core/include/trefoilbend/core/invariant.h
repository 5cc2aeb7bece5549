#ifndef TREFOILBEND_CORE_INVARIANT_H_
#define TREFOILBEND_CORE_INVARIANT_H_

#include <string_view>

namespace trefoilbend::core {

/**
 * @brief Stops the process when an invariant does not hold.
 * @param holds Whether the invariant holds.
 * @param invariant Statement of the invariant, printed when it is broken.
 */
void CheckInvariant(bool holds, std::string_view invariant) noexcept;

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_INVARIANT_H_
