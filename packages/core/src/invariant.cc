#include "trefoilbend/core/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace trefoilbend::core {

void CheckInvariant(const bool holds,
                    const std::string_view invariant) noexcept {
  if (holds) {
    return;
  }
  std::fprintf(stderr, "trefoilbend: broken invariant: %.*s\n",
               static_cast<int>(invariant.size()), invariant.data());
  std::abort();
}

}  // namespace trefoilbend::core
