#ifndef TREFOILBEND_REGISTRY_ROW_CODEC_H_
#define TREFOILBEND_REGISTRY_ROW_CODEC_H_

#include <optional>
#include <string>

#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/objects.h"
#include "trefoilbend/platform/messages.h"
#include "trefoilbend/registry/records.h"

namespace trefoilbend::registry {

/** @brief Reads and writes the rows that operators and targets share with the
 * entries. */
class RowCodec {
 public:
  virtual ~RowCodec() = default;

  /** @return Table in which operators write. */
  [[nodiscard]] virtual std::string OrdersTable() const = 0;

  /** @return Table in which targets register. */
  [[nodiscard]] virtual std::string TargetsTable() const = 0;

  /**
   * @brief Reads a row of the operators' table.
   * @param row Row to read.
   * @return What the row orders.
   */
  [[nodiscard]] virtual Order DecodeOrder(const platform::Row& row) const = 0;

  /**
   * @brief Reads a row of the targets' table.
   * @param row Row to read.
   * @return The target, or nothing if the row names none.
   */
  [[nodiscard]] virtual std::optional<TargetRecord> DecodeTarget(
      const platform::Row& row) const = 0;

  /**
   * @brief Returns the key of the row that holds a release's order.
   * @param service Service of the release.
   * @return Key of the row.
   */
  [[nodiscard]] virtual std::string ReleaseOrderKey(
      const core::ServiceName& service) const = 0;

  /**
   * @brief Writes for operators where a release stands.
   * @param release Release to tell of.
   * @return Row to write.
   */
  [[nodiscard]] virtual platform::Write EncodeStatus(
      const inventory::Release& release) const = 0;
};

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_ROW_CODEC_H_
