#ifndef TREFOILBEND_FEED_TABLE_IMAGE_H_
#define TREFOILBEND_FEED_TABLE_IMAGE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "trefoilbend/platform/messages.h"

namespace trefoilbend::feed {

/** @brief What a reader lacks of a table: changes, or the whole table if some
 * of them are forgotten. */
using TableNews = std::variant<platform::TableChanges, platform::TableState>;

/**
 * @brief Copy of one table of the store, from which this entry tells its peers
 * what they lack.
 *
 * Rows carry their versions, so that no history is needed but that of
 * deletions. A whole table tells nothing of the rows that were deleted before
 * it was read, which a reader may still have. So a reader that knows less than
 * the last whole table gets the whole table, and never a list of changes. So
 * does one that knows the table in an earlier era of the store.
 */
class TableImage {
 public:
  /**
   * @brief Makes the image of an empty table.
   * @param most_deletions Deletions that are remembered; a reader that lacks
   * older ones gets the whole table.
   */
  explicit TableImage(std::size_t most_deletions)
      : most_deletions(most_deletions) {}

  /**
   * @brief Takes what the store, or a peer, has told of the table.
   * @param news Changes or the whole table; what is older than what is known is
   * passed over.
   */
  void Take(const TableNews& news);

  /** @return Position up to which the table is known. */
  [[nodiscard]] platform::Position Known() const noexcept {
    return this->known;
  }

  /** @return Position of the newest row or deletion, known or possible. */
  [[nodiscard]] platform::Position Newest() const noexcept {
    return this->newest;
  }

  /**
   * @brief Tells whether a reader lacks rows or deletions.
   * @param after Position up to which the reader knows the table.
   * @return Whether it does; never for one that knows a later era.
   */
  [[nodiscard]] bool HasNews(const platform::Position& after) const noexcept {
    return after.Precedes(this->newest);
  }

  /** @return All rows, and the deletions that are remembered. */
  [[nodiscard]] platform::TableChanges Content() const;

  /** @return Content in the era before the present one, if it was known. */
  [[nodiscard]] const std::optional<platform::TableChanges>& Earlier()
      const noexcept {
    return this->earlier;
  }

  /** @brief Frees the content of the era before. */
  void ForgetEarlier() noexcept { this->earlier.reset(); }

  /**
   * @brief Lists what a reader lacks.
   * @param after Position up to which the reader knows the table.
   * @return Changes in the order of their versions, or the whole table.
   */
  [[nodiscard]] TableNews After(const platform::Position& after) const;

 private:
  void TakeState(const platform::TableState& state);
  void TakeChanges(const platform::TableChanges& changes);
  void Put(const platform::Row& row);
  void Delete(const std::string& key, const platform::Position& at);

  std::size_t most_deletions;
  std::map<std::string, platform::Row> rows;
  std::deque<std::pair<std::string, platform::Position>> deletions;
  platform::Position known;
  /** Position up to which some row or deletion is known or possible. */
  platform::Position newest;
  /** Position up to which deletions may be missing from the list. */
  platform::Position forgotten;
  std::optional<platform::TableChanges> earlier;
};

}  // namespace trefoilbend::feed

#endif  // TREFOILBEND_FEED_TABLE_IMAGE_H_
