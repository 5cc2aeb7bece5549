#include "trefoilbend/inventory/objects.h"

#include <array>
#include <string_view>

namespace trefoilbend::inventory {

ObjectKey KeyOf(const Object& object) {
  return std::visit(
      [&](const auto& concrete) {
        return ObjectKey{static_cast<Kind>(object.index()),
                         concrete.name.Text()};
      },
      object);
}

std::string ToString(const ObjectKey& key) {
  static constexpr std::array<std::string_view, std::variant_size_v<Object>>
      kKinds{"data-centre", "service", "instance",    "route",
             "outage",      "release", "release-rule"};
  return std::string{kKinds.at(static_cast<std::size_t>(key.kind))} + '/' +
         key.name;
}

}  // namespace trefoilbend::inventory
