#ifndef TREFOILBEND_INVENTORY_CODEC_H_
#define TREFOILBEND_INVENTORY_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "trefoilbend/core/number.h"
#include "trefoilbend/inventory/change.h"

namespace trefoilbend::inventory {

/** @brief Beginning of the keys of the rows that hold revisions. */
inline constexpr std::string_view kChangePrefix = "change/";

/** @brief Key of the row that holds the newest revision. */
inline constexpr std::string_view kHeadKey = "head";

/**
 * @brief Returns the key of the row that holds a revision; keys sort like
 * revisions.
 * @param revision Revision of the row.
 * @return The key.
 */
[[nodiscard]] std::string ChangeKey(core::Revision revision);

/**
 * @brief Returns the key of the row that tells which revision a change became.
 * @param change_id Identity of the change.
 * @return The key.
 */
[[nodiscard]] std::string ChangeIdKey(std::string_view change_id);

/**
 * @brief Writes a revision with its changes as JSON.
 * @param revised Revision to write.
 * @return The text.
 */
[[nodiscard]] std::string Encode(const Revised& revised);

/**
 * @brief Reads a revision with its changes.
 * @param text JSON that Encode wrote.
 * @return The revision, or nothing if the text is malformed or of a newer
 * format.
 */
[[nodiscard]] std::optional<Revised> DecodeRevised(std::string_view text);

/**
 * @brief Writes an object as JSON.
 * @param object Object to write.
 * @return The text.
 */
[[nodiscard]] std::string Encode(const Object& object);

/**
 * @brief Reads an object.
 * @param text JSON that Encode wrote.
 * @return The object, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<Object> DecodeObject(std::string_view text);

}  // namespace trefoilbend::inventory

#endif  // TREFOILBEND_INVENTORY_CODEC_H_
