#ifndef TREFOILBEND_CORE_NAME_H_
#define TREFOILBEND_CORE_NAME_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace trefoilbend::core {

/**
 * @brief A textual identifier that does not convert to identifiers of other
 * kinds.
 * @tparam Tag Type that tells one kind of identifier from another.
 */
template <typename Tag>
class Name {
 public:
  /** @brief Makes an empty name, which identifies nothing. */
  Name() = default;

  /**
   * @brief Makes a name from its text.
   * @param text Text of the name.
   */
  explicit Name(std::string text) : text(std::move(text)) {}

  /** @return The text of the name. */
  [[nodiscard]] const std::string& Text() const noexcept { return this->text; }

  /** @return Whether the name identifies nothing. */
  [[nodiscard]] bool Empty() const noexcept { return this->text.empty(); }

  [[nodiscard]] auto operator<=>(const Name&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const Name& name) {
    return out << name.text;
  }

 private:
  std::string text;
};

using InstanceName = Name<struct InstanceTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RegionName = Name<struct RegionTag>;
using ServiceName = Name<struct ServiceTag>;
using VersionName = Name<struct VersionTag>;
using RouteName = Name<struct RouteTag>;

}  // namespace trefoilbend::core

template <typename Tag>
struct std::hash<trefoilbend::core::Name<Tag>> {
  std::size_t operator()(
      const trefoilbend::core::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.Text());
  }
};

#endif  // TREFOILBEND_CORE_NAME_H_
