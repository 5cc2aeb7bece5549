#ifndef TREFOILBEND_HTTP_ADDRESS_H_
#define TREFOILBEND_HTTP_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilbend::http {

/** @brief IP number and TCP port. */
struct Address {
  /** @brief IP number in text. */
  std::string host;
  /** @brief TCP port. */
  std::uint16_t port{};

  [[nodiscard]] auto operator<=>(const Address&) const = default;
};

/**
 * @brief Reads an address of the form 10.0.0.1:8080 or [::1]:8080.
 * @param text Text to read.
 * @return The address, or nothing if the text is not an IP number with a port.
 */
[[nodiscard]] std::optional<Address> ParseAddress(std::string_view text);

/**
 * @brief Writes an address so that ParseAddress reads it.
 * @param address Address to write.
 * @return The text.
 */
[[nodiscard]] std::string ToString(const Address& address);

}  // namespace trefoilbend::http

#endif  // TREFOILBEND_HTTP_ADDRESS_H_
