#include "trefoilbend/settings/mistake.h"

namespace trefoilbend::settings {

std::string ToString(const Mistake& mistake) {
  const std::string key = mistake.key.empty() ? "" : ", key " + mistake.key;
  return mistake.file + ": " + mistake.place + key + ": expected " +
         mistake.expected;
}

}  // namespace trefoilbend::settings
