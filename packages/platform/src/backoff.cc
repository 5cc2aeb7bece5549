#include "trefoilbend/platform/backoff.h"

#include <algorithm>

namespace trefoilbend::platform {

std::chrono::milliseconds Backoff::Fail() {
  std::uniform_int_distribution<std::int64_t> delay{0, this->bound.count()};
  this->bound = std::min(this->bound * 2, this->limits.most);
  return std::chrono::milliseconds{delay(this->random)};
}

}  // namespace trefoilbend::platform
