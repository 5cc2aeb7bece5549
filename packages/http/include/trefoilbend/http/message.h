#ifndef TREFOILBEND_HTTP_MESSAGE_H_
#define TREFOILBEND_HTTP_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoilbend::http {

/** @brief Header fields of a message. */
using Fields = std::vector<std::pair<std::string, std::string>>;

/** @brief A whole HTTP request. */
struct Request {
  /** @brief Method, in capitals. */
  std::string method;
  /** @brief Path and query. */
  std::string target;
  /** @brief Header fields. */
  Fields fields;
  /** @brief Body, whole. */
  std::string body;
};

/** @brief A whole HTTP response. */
struct Response {
  /** @brief Status code. */
  std::uint16_t status = 200;
  /** @brief Media type of the body. */
  std::string content_type = "application/json";
  /** @brief Further header fields. */
  Fields fields;
  /** @brief Body, whole. */
  std::string body;
};

/**
 * @brief Finds a header field, whatever the case of its name.
 * @param fields Fields to search.
 * @param name Name of the field.
 * @return Value of the first such field, or nothing.
 */
[[nodiscard]] std::optional<std::string_view> FindField(
    const Fields& fields, std::string_view name) noexcept;

/**
 * @brief Sets a header field in place of all of that name.
 * @param fields Fields to change.
 * @param name Name of the field.
 * @param value Value of the field.
 */
void SetField(Fields& fields, std::string_view name, std::string value);

/**
 * @brief Removes the header fields of a name, whatever its case.
 * @param fields Fields to change.
 * @param name Name of the fields.
 */
void EraseField(Fields& fields, std::string_view name);

/**
 * @brief Returns the path of a request's target.
 * @param target Path and query.
 * @return The target up to its query.
 */
[[nodiscard]] std::string_view PathOf(std::string_view target) noexcept;

/**
 * @brief Reads the query of a request's target.
 * @param target Path and query.
 * @return Decoded parameters by name; of a repeated one, the last.
 */
[[nodiscard]] std::map<std::string, std::string> QueryOf(
    std::string_view target);

/**
 * @brief Escapes text for use as a value in a query or as a path segment.
 * @param text Text to escape.
 * @return The text with each byte that is not unreserved (RFC 3986,
 * section 2.3) as %XX.
 */
[[nodiscard]] std::string Escape(std::string_view text);

}  // namespace trefoilbend::http

#endif  // TREFOILBEND_HTTP_MESSAGE_H_
