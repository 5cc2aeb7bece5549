#ifndef TREFOILBEND_OPERATIONS_OPERATORS_H_
#define TREFOILBEND_OPERATIONS_OPERATORS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilbend/core/outcome.h"
#include "trefoilbend/settings/document.h"
#include "trefoilbend/settings/mistake.h"

namespace trefoilbend::operations {

/** @brief An operator who may change the configuration. */
struct Operator {
  /** @brief Name for the audit trail. */
  std::string name;
  /** @brief Secret that proves who asks. */
  std::string token;
};

/** @brief The operators who may change the configuration. */
class Operators {
 public:
  /** @brief Least length of a token in characters. */
  static constexpr std::size_t kLeastToken = 16;

  /** @brief Begins without operators, so that every change is refused. */
  Operators() = default;

  /**
   * @brief Reads the operators.
   * @param document Sections [operator NAME] with the key token.
   * @return The operators, or all mistakes.
   */
  [[nodiscard]] static core::Outcome<Operators, settings::Mistakes> Read(
      const settings::Document& document);

  /**
   * @brief Finds the operator of a request.
   * @param authorization Value of the Authorization field, "Bearer TOKEN"
   * (RFC 6750, section 2.1).
   * @return Name of the operator, or nothing if the token is unknown.
   */
  [[nodiscard]] std::optional<std::string> Authenticate(
      std::string_view authorization) const;

 private:
  explicit Operators(std::vector<Operator> operators)
      : operators(std::move(operators)) {}

  std::vector<Operator> operators;
};

}  // namespace trefoilbend::operations

#endif  // TREFOILBEND_OPERATIONS_OPERATORS_H_
