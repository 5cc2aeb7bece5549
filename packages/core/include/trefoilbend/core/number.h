#ifndef TREFOILBEND_CORE_NUMBER_H_
#define TREFOILBEND_CORE_NUMBER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>

namespace trefoilbend::core {

/**
 * @brief A numeric identifier that does not convert to identifiers of other
 * kinds.
 * @tparam Tag Type that tells one kind of identifier from another.
 */
template <typename Tag>
class Number {
 public:
  /** @brief Makes the number zero. */
  constexpr Number() noexcept = default;

  /**
   * @brief Makes a number from its value.
   * @param value Value of the number.
   */
  constexpr explicit Number(std::uint64_t value) noexcept : value(value) {}

  /** @return The value of the number. */
  [[nodiscard]] constexpr std::uint64_t Value() const noexcept {
    return this->value;
  }

  /** @return The number that follows this one. */
  [[nodiscard]] constexpr Number Next() const noexcept {
    return Number{this->value + 1};
  }

  [[nodiscard]] constexpr auto operator<=>(const Number&) const noexcept =
      default;

  friend std::ostream& operator<<(std::ostream& out, const Number& number) {
    return out << number.value;
  }

 private:
  std::uint64_t value{};
};

using CallId = Number<struct CallTag>;
using ExchangeId = Number<struct ExchangeTag>;
using Revision = Number<struct RevisionTag>;
using Incarnation = Number<struct IncarnationTag>;

}  // namespace trefoilbend::core

template <typename Tag>
struct std::hash<trefoilbend::core::Number<Tag>> {
  std::size_t operator()(
      const trefoilbend::core::Number<Tag>& number) const noexcept {
    return std::hash<std::uint64_t>{}(number.Value());
  }
};

#endif  // TREFOILBEND_CORE_NUMBER_H_
