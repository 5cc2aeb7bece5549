#ifndef TREFOILBEND_CALLERS_CALLER_PROTOCOL_H_
#define TREFOILBEND_CALLERS_CALLER_PROTOCOL_H_

#include <optional>
#include <string_view>

#include "trefoilbend/callers/classify.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/discovery/directory.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::callers {

/** @brief What callers and entries say to each other beside the calls. */
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /**
   * @brief Reads what a caller wishes for its call.
   * @param fields Header fields of the request.
   * @return The wishes.
   */
  [[nodiscard]] virtual Wishes WishesOf(const core::Fields& fields) const = 0;

  /**
   * @brief Writes a refusal.
   * @param refusal Refusal of a call.
   * @return The response.
   */
  [[nodiscard]] virtual http::Response ToResponse(
      const core::Refusal& refusal) const = 0;

  /**
   * @brief Reads a question which entries to use.
   * @param target Path and query of the request.
   * @return The question, or nothing if the request asks something else.
   */
  [[nodiscard]] virtual std::optional<discovery::DirectoryQuery> ReadQuestion(
      std::string_view target) const = 0;

  /**
   * @brief Writes which entries a caller uses.
   * @param answer Answer of the directory.
   * @return The response.
   */
  [[nodiscard]] virtual http::Response ToResponse(
      const discovery::DirectoryAnswer& answer) const = 0;
};

/** @brief trefoilbend's own interface for callers. */
class OwnCallerProtocol final : public CallerProtocol {
 public:
  [[nodiscard]] Wishes WishesOf(const core::Fields& fields) const override;

  [[nodiscard]] http::Response ToResponse(
      const core::Refusal& refusal) const override;

  [[nodiscard]] std::optional<discovery::DirectoryQuery> ReadQuestion(
      std::string_view target) const override;

  [[nodiscard]] http::Response ToResponse(
      const discovery::DirectoryAnswer& answer) const override;
};

}  // namespace trefoilbend::callers

#endif  // TREFOILBEND_CALLERS_CALLER_PROTOCOL_H_
